"""Decision logic of a gateway: admission, endpoint selection, retries and final answers.

`engine` takes typed events and returns typed actions; each of the other modules implements one rule or one
kind of record. The package does no I/O and reads no clock. docs/design.md describes the mechanism.
"""
