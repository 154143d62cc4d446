"""The command line: drumgw serve, check, lab."""
