"""Base of the models that decode the platform's files and messages."""

import pydantic


class PlatformModel(pydantic.BaseModel):
    """A file or message of the platform.

    Unknown fields are ignored, because the platform may add fields.
    """

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, validate_by_name=True
    )


def describe_first_error(error: pydantic.ValidationError) -> str:
    """Returns the location and the message of the first error."""
    detail = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in detail["loc"])
    return f"{location or 'body'}: {detail['msg']}"
