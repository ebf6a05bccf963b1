"""Base of the models that decode bodies of the platform."""

import pydantic


class PlatformModel(pydantic.BaseModel):
    """A body of the platform.

    Fields that this version does not know are ignored; new ones may come.
    """

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, validate_by_name=True
    )


def describe_first_error(error: pydantic.ValidationError) -> str:
    """Returns where the first fault of a body stands and what it is."""
    detail = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in detail["loc"])
    return f"{location or 'body'}: {detail['msg']}"
