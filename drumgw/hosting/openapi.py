"""The OpenAPI document, made of the API's own table and of the models that check its bodies."""

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
from drumgw.hosting.admin_api import LIST, Action

REF_PREFIX = "#/components/schemas/"


@dataclass(frozen=True)
class PublishedSchema:
    """How a model appears in the document."""

    name: str
    description: str | None = None


ANY_CALL = {401: "no token", 403: "not yours", 429: "too many calls", 500: "a fault of ours"}
WITH_BODY = {
    400: "not JSON",
    405: "read only",
    408: "too slow",
    413: "too large",
    415: "not JSON",
    422: "unusable",
}
# The names and descriptions that the document publishes; our class names and docstrings stay out of it.
PUBLISHED_SCHEMAS: dict[type[BaseModel], PublishedSchema] = {
    AllowedSection: PublishedSchema("Allowed", "What a gateway may do."),
    KnownEndpointSection: PublishedSchema("Worker", "An endpoint known before discovery is heard."),
    NamedTenantSpec: PublishedSchema("Named", "A tenant as a file or a create gives it."),
    PlanSection: PublishedSchema("Plan"),
    RequestClassSection: PublishedSchema("Product"),
    RouteSection: PublishedSchema("Way", "A route: any host where it is empty, all paths where that is."),
    RulesSection: PublishedSchema("Rules", "What must hold of endpoints that warm up or drain."),
    TenantSpec: PublishedSchema("Spec", "What a tenant is made of."),
}
BODIES: dict[str, Any] = {
    "Named": NamedTenantSpec,
    "Spec": TenantSpec,
    "plans": list[PlanSection],
    "routes": list[RouteSection],
    "limits": AllowedSection,
}


def document() -> dict[str, Any]:
    schemas: dict[str, Any] = {}
    paths: dict[str, Any] = {}
    for action, _ in LIST:
        paths.setdefault(action.path, {})[action.method.lower()] = operation(action, schemas)
    return {
        "openapi": "3.1.0",
        "info": {"title": "drumgw tenants", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def statuses(action: Action) -> dict[int, str]:
    """Every status that a call may get."""
    if action.name == "describe":
        return {**action.answers, 429: ANY_CALL[429], 500: ANY_CALL[500]}
    more = WITH_BODY if action.body else {405: WITH_BODY[405]} if action.method != "GET" else {}
    return {**ANY_CALL, **more, **action.answers}


def operation(action: Action, schemas: dict[str, Any]) -> dict[str, Any]:
    names = [part[1:-1] for part in action.path.split("/") if part.startswith("{")]
    parameters = [{"name": n, "in": "path", "required": True, "schema": {"type": "string"}} for n in names]
    if 428 in action.answers:
        parameters.append(header("If-Match", True))
    if action.name == "create":
        parameters.append(header("Idempotency-Key", False))
    if action.name == "list":
        parameters += [{"name": n, "in": "query", "schema": {"type": "string"}} for n in ("after", "limit")]
    found: dict[str, Any] = {
        "operationId": f"{action.method.lower()} {action.path}".replace("/", " ").replace("  ", " "),
        "summary": action.summary,
        "parameters": parameters,
        "responses": {
            str(status): {
                "description": text,
                "content": {"application/json" if status < 400 else "application/problem+json": {}},
            }
            for status, text in sorted(statuses(action).items())
        },
    }
    if action.body is not None:
        schemas[action.body] = published_schema(BODIES[action.body], schemas)
        found["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": {"$ref": f"{REF_PREFIX}{action.body}"}}},
        }
    if action.name != "describe":
        found["security"] = [{"token": []}]
    return found


def header(name: str, required: bool) -> dict[str, Any]:
    return {"name": name, "in": "header", "required": required, "schema": {"type": "string"}}


def published_schema(body: Any, schemas: dict[str, Any]) -> dict[str, Any]:
    """Returns the schema of a body under its published names; adds the schemas it refers to to schemas."""
    schema: dict[str, Any] = TypeAdapter(body).json_schema(ref_template=REF_PREFIX + "{model}")
    for class_name, definition in schema.pop("$defs", {}).items():
        schemas[_BY_CLASS_NAME[class_name].name] = _publish(definition)
    return _publish(schema)


_BY_CLASS_NAME = {model.__name__: published for model, published in PUBLISHED_SCHEMAS.items()}


def _publish(schema: dict[str, Any]) -> dict[str, Any]:
    """Replaces a model's class name and docstring, and the class names in references."""
    published = _BY_CLASS_NAME.get(schema.get("title", ""))
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
        if isinstance(reference := node.get("$ref"), str):
            node["$ref"] = REF_PREFIX + _BY_CLASS_NAME[reference.removeprefix(REF_PREFIX)].name
        for child in node.values():
            _rename_references(child)
