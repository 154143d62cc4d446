"""Many tenants in one process, with an administration API (docs/tenants.md)."""
