"""Base types of the generated messages and settings."""

import pydantic

# Lower bound of the read limit. Without a limit, overlapping pointers can make a
# few bytes expand to gigabytes; a valid message is read only once.
MIN_READ_WORDS = 1024


class MessageError(Exception):
    """The bytes are not a message of the expected type."""


def read_limit(data: bytes) -> int:
    """Returns the number of 8-byte words that may be read from a message."""
    return max(len(data), MIN_READ_WORDS)


class SettingsModel(pydantic.BaseModel):
    """Base of immutable settings that reject unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    @pydantic.field_validator("*", mode="before")
    @classmethod
    def _split_lists(cls, value: object, info: pydantic.ValidationInfo):
        """Splits the comma-separated INI values of list fields."""
        field = cls.model_fields[info.field_name or ""]
        if isinstance(value, str) and "tuple" in str(field.annotation):
            parts = (part.strip() for part in value.split(","))
            return tuple(part for part in parts if part)
        return value
