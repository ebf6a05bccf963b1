"""Base types shared by the generated messages and settings."""

import pydantic

# Honest messages are read once; pointers that overlap can make a few bytes
# unfold into gigabytes.
MIN_READ_WORDS = 1024


class MessageError(Exception):
    """Bytes that do not hold a message of the expected type."""


def read_limit(data: bytes) -> int:
    """Returns how many words a reader may visit in a message."""
    return max(len(data), MIN_READ_WORDS)


class SettingsModel(pydantic.BaseModel):
    """Immutable settings that refuse unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    @pydantic.field_validator("*", mode="before")
    @classmethod
    def _split_lists(cls, value: object, info: pydantic.ValidationInfo):
        """Splits comma-separated INI values of list fields."""
        field = cls.model_fields[info.field_name or ""]
        if isinstance(value, str) and "tuple" in str(field.annotation):
            parts = (part.strip() for part in value.split(","))
            return tuple(part for part in parts if part)
        return value
