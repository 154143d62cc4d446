"""Every decision of a gateway; no I/O and no clock."""
