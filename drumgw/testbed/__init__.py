"""The testbed: plays scenarios against gateways, judges them by the rules of the service, and reports.

Everything around the gateways is emulated: endpoints, discovery, shared counter and clients, with faults. The
gateways are real processes on loopback (`socket_runner`), or their I/O-free core on a virtual clock
(`virtual_runner`). What the emulated parties observe goes to an event log (`event_log`); the oracle
(`oracle`) and the figures (`metrics`) go by that alone.
"""
