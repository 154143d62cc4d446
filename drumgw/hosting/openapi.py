"""The OpenAPI document, made of the API's own table and of the models that check its bodies."""

from __future__ import annotations

from typing import Any

from pydantic import TypeAdapter

from drumgw.config.host_file import NamedTenantSpec, RouteSection, TenantSpec
from drumgw.config.sections import AllowedSection, PlanSection
from drumgw.hosting.admin_api import LIST, Action

ANY_CALL = {401: "no token", 403: "not yours", 429: "too many calls", 500: "a fault of ours"}
WITH_BODY = {
    400: "not JSON",
    405: "read only",
    408: "too slow",
    413: "too large",
    415: "not JSON",
    422: "unusable",
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
        schema = TypeAdapter(BODIES[action.body]).json_schema(ref_template="#/components/schemas/{model}")
        schemas.update(schema.pop("$defs", {}))
        schemas[action.body] = schema
        found["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": {"$ref": f"#/components/schemas/{action.body}"}}},
        }
    if action.name != "describe":
        found["security"] = [{"token": []}]
    return found


def header(name: str, required: bool) -> dict[str, Any]:
    return {"name": name, "in": "header", "required": required, "schema": {"type": "string"}}
