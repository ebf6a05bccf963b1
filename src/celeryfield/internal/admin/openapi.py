"""Generates the OpenAPI document from the table of operations."""

import re
from typing import Any

import pydantic
from pydantic.json_schema import models_json_schema

import celeryfield
from celeryfield.internal.admin.models import ErrorAnswer
from celeryfield.internal.admin.operations import OPERATIONS, Operation

_REF_TEMPLATE = "#/components/schemas/{model}"
# Error statuses that every operation lists besides its own.
_COMMON_ERROR_STATUSES = (400, 401, 500)
_PATH_PARAMETER = re.compile(r"\{(\w+)\}")


def build_document() -> dict[str, Any]:
    """Returns the OpenAPI document of all operations."""
    models = {
        model
        for operation in OPERATIONS
        for model in (operation.answer, operation.body)
        if model is not None
    }
    ordered = sorted([*models, ErrorAnswer], key=lambda model: model.__name__)
    # "validation" selects the schema of the data that a model accepts.
    _, schemas = models_json_schema(
        [(model, "validation") for model in ordered],
        ref_template=_REF_TEMPLATE,
    )
    paths: dict[str, dict[str, Any]] = {}
    for operation in OPERATIONS:
        path_item = paths.setdefault(operation.path, {})
        path_item[operation.method.lower()] = _describe_operation(operation)
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "celeryfield administration API",
            "version": celeryfield.__version__,
        },
        "paths": paths,
        "components": {
            "schemas": schemas["$defs"],
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
    }


def _describe_operation(operation: Operation) -> dict[str, Any]:
    statuses = sorted({*_COMMON_ERROR_STATUSES, *operation.error_statuses})
    operation_object: dict[str, Any] = {
        "summary": operation.summary,
        "parameters": _parameters(operation),
        "responses": {
            str(operation.status): _body_object(operation.answer, "Success"),
            **{
                str(status): _body_object(ErrorAnswer, "Error")
                for status in statuses
            },
        },
    }
    if operation.body is not None:
        operation_object["requestBody"] = _body_object(
            operation.body, "Request"
        )
    if operation.is_public:
        operation_object["security"] = []
    return operation_object


def _body_object(
    model: type[pydantic.BaseModel] | None, description: str
) -> dict[str, Any]:
    """Returns a response or request body object; both have these fields."""
    if model is None:
        return {"description": description}
    schema = {"$ref": _REF_TEMPLATE.format(model=model.__name__)}
    return {
        "description": description,
        "content": {"application/json": {"schema": schema}},
    }


def _parameters(operation: Operation) -> list[dict[str, Any]]:
    parameters = [
        _parameter(name, "path", True, {"type": "string"})
        for name in _PATH_PARAMETER.findall(operation.path)
    ]
    if operation.query is not None:
        schema = operation.query.model_json_schema()
        required = schema.get("required", ())
        parameters += [
            _parameter(name, "query", name in required, parameter_schema)
            for name, parameter_schema in schema["properties"].items()
        ]
    return parameters


def _parameter(
    name: str, place: str, is_required: bool, schema: dict[str, Any]
) -> dict[str, Any]:
    return {
        "name": name,
        "in": place,
        "required": is_required,
        "schema": schema,
    }
