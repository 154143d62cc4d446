"""Tests the published names and titles of the OpenAPI document, from which clients generate code."""

from __future__ import annotations

import unittest

from drumgw.hosting.openapi import openapi_document

SCHEMA_TITLES = {
    "Allowed": "Allowed",
    "Named": "Named",
    "Plan": "Plan",
    "Product": "Product",
    "Rules": "Rules",
    "Spec": "Spec",
    "Way": "Way",
    "Worker": "Worker",
    "limits": "Allowed",
    "plans": None,
    "routes": None,
}
PROPERTIES = {
    "Allowed": "cancel connect_ms counter_wait_ms idle_ms most_units retry_after_ms second_copies "
    "submissions",
    "Plan": "burst_units ceiling_burst ceiling_per_s ceiling_slack name open_cap over_cost over_value price "
    "units_per_s",
    "Product": "expiry_ms group late_value name remember_ms repeat sla_ms value",
    "Rules": "answer_slack_ms cold_from cold_ms drain_grace_ms fall_ms fall_multiple",
    "Spec": "allowed counter discovery plan product route rules weight worker zone zones",
    "Way": "host path",
    "Worker": "address cell id kind zone",
}
ITEM_REFERENCES = {"plans": "#/components/schemas/Plan", "routes": "#/components/schemas/Way"}


class PublishedDocument(unittest.TestCase):
    """Guards against renamed model classes or changed docstrings that alter the published document."""

    def test_schema_names_and_titles_are_unchanged(self) -> None:
        schemas = openapi_document()["components"]["schemas"]
        self.assertEqual({name: schema.get("title") for name, schema in schemas.items()}, SCHEMA_TITLES)

    def test_properties_and_their_titles_are_unchanged(self) -> None:
        schemas = openapi_document()["components"]["schemas"]
        for name, properties in {**PROPERTIES, "Named": PROPERTIES["Spec"] + " name"}.items():
            with self.subTest(name):
                self.assertEqual(sorted(schemas[name]["properties"]), sorted(properties.split()))
                for key, schema in schemas[name]["properties"].items():
                    if "$ref" not in schema:
                        self.assertEqual(schema["title"], key.replace("_", " ").title())

    def test_schemas_with_descriptions_are_unchanged(self) -> None:
        schemas = openapi_document()["components"]["schemas"]
        described = {name for name, schema in schemas.items() if "description" in schema}
        self.assertEqual(described, {"Allowed", "Named", "Rules", "Spec", "Way", "Worker", "limits"})

    def test_array_items_reference_published_names(self) -> None:
        schemas = openapi_document()["components"]["schemas"]
        self.assertEqual({name: schemas[name]["items"]["$ref"] for name in ITEM_REFERENCES}, ITEM_REFERENCES)
