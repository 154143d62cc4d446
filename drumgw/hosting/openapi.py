"""Generates the OpenAPI document from the table of operations and the models that validate request bodies.

Clients generate code from the document, so it must not change when a model's class or docstring does:
PUBLISHED_SCHEMAS fixes the name and description under which each model is published.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, TypeAdapter

from drumgw.config.host_file import NamedTenantSpec, RouteSection, TenantSpec
from drumgw.config.sections import (
    AllowedSection,
    KnownEndpointSection,
    PlanSection,
    RequestClassSection,
    RulesSection,
)
from drumgw.hosting.api_operations import OPERATIONS, ApiOperation, BodySchema, possible_responses
from drumgw.hosting.authentication import Permission

REF_PREFIX = "#/components/schemas/"
JsonObject = dict[str, Any]


@dataclass(frozen=True)
class PublishedSchema:
    """The published name and description of a model; None publishes no description."""

    name: str
    description: str | None = None


PUBLISHED_SCHEMAS: dict[type[BaseModel], PublishedSchema] = {
    AllowedSection: PublishedSchema(
        "Allowed", "Limits on attempts, connections, Retry-After, counter calls and units per request."
    ),
    KnownEndpointSection: PublishedSchema(
        "Worker", "An endpoint that can be used before discovery has responded."
    ),
    NamedTenantSpec: PublishedSchema("Named", "A spec with the tenant's name, to create a tenant."),
    PlanSection: PublishedSchema("Plan"),
    RequestClassSection: PublishedSchema("Product"),
    RouteSection: PublishedSchema("Way", "A route: an empty host matches any host, an empty path all paths."),
    RulesSection: PublishedSchema(
        "Rules", "The drain grace, the warm-up model of endpoints, and the slack for late responses."
    ),
    TenantSpec: PublishedSchema("Spec", "The specification of a tenant."),
}
BODY_TYPES: dict[BodySchema, Any] = {
    BodySchema.NAMED_SPEC: NamedTenantSpec,
    BodySchema.SPEC: TenantSpec,
    BodySchema.PLANS: list[PlanSection],
    BodySchema.ROUTES: list[RouteSection],
    BodySchema.LIMITS: AllowedSection,
}

_PUBLISHED_BY_CLASS_NAME = {model.__name__: published for model, published in PUBLISHED_SCHEMAS.items()}


def openapi_document() -> JsonObject:
    """Returns the OpenAPI 3.1 document as a JSON object."""
    schemas: JsonObject = {}
    paths: JsonObject = {}
    for operation in OPERATIONS:
        paths.setdefault(operation.path, {})[operation.method.lower()] = _describe_operation(operation)
        if operation.body is not None:
            schemas[operation.body.value] = _publish_body(BODY_TYPES[operation.body], schemas)
    return {
        "openapi": "3.1.0",
        "info": {"title": "drumgw tenants", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _describe_operation(operation: ApiOperation) -> JsonObject:
    description: JsonObject = {
        "operationId": f"{operation.method.lower()} {operation.path}".replace("/", " ").replace("  ", " "),
        "summary": operation.summary,
        "parameters": _describe_parameters(operation),
        "responses": {
            str(status): _describe_response(status, text)
            for status, text in sorted(possible_responses(operation).items())
        },
    }
    if operation.body is not None:
        schema = {"$ref": REF_PREFIX + operation.body.value}
        description["requestBody"] = {"required": True, "content": {"application/json": {"schema": schema}}}
    if not operation.is_public:
        description["security"] = [{"token": []}]
    return description


def _describe_response(status: int, text: str) -> JsonObject:
    media_type = "application/json" if status < 400 else "application/problem+json"
    return {"description": text, "content": {media_type: {}}}


def _describe_parameters(operation: ApiOperation) -> list[JsonObject]:
    names = [part[1:-1] for part in operation.path.split("/") if part.startswith("{")]
    parameters = [_parameter(name, "path", required=True) for name in names]
    if operation.requires_version:
        parameters.append(_parameter("If-Match", "header", required=True))
    if operation.permission is Permission.CREATE:
        parameters.append(_parameter("Idempotency-Key", "header", required=False))
    if operation.permission is Permission.LIST:
        parameters += [
            {"name": name, "in": "query", "schema": {"type": "string"}} for name in ("after", "limit")
        ]
    return parameters


def _parameter(name: str, location: str, required: bool) -> JsonObject:
    return {"name": name, "in": location, "required": required, "schema": {"type": "string"}}


def _publish_body(body_type: Any, schemas: JsonObject) -> JsonObject:
    """Returns a body's schema under published names, and adds the schemas that it references to `schemas`."""
    schema: JsonObject = TypeAdapter(body_type).json_schema(ref_template=REF_PREFIX + "{model}")
    for class_name, definition in schema.pop("$defs", {}).items():
        schemas[_PUBLISHED_BY_CLASS_NAME[class_name].name] = _publish_schema(definition)
    return _publish_schema(schema)


def _publish_schema(schema: JsonObject) -> JsonObject:
    """Replaces, in place, the class name and docstring of a model and the class names in references."""
    published = _PUBLISHED_BY_CLASS_NAME.get(schema.get("title", ""))
    if published is not None:
        schema["title"] = published.name
        schema.pop("description", None)
        if published.description is not None:
            schema["description"] = published.description
    _rename_references(schema)
    return schema


def _rename_references(node: Any) -> None:
    if isinstance(node, list):
        for child in node:
            _rename_references(child)
    elif isinstance(node, dict):
        reference = node.get("$ref")
        if isinstance(reference, str):
            node["$ref"] = REF_PREFIX + _PUBLISHED_BY_CLASS_NAME[reference.removeprefix(REF_PREFIX)].name
        for child in node.values():
            _rename_references(child)
