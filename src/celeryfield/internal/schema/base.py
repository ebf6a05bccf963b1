"""Base types shared by the generated messages and settings."""

import pydantic


class MessageError(Exception):
    """Bytes that do not hold a message of the expected type."""


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
