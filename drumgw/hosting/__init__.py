"""Serves many tenants in one process, with an administration API to manage them (docs/tenants.md)."""
