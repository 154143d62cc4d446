"""The testbed: runs scenarios against gateways, checks the rules of the service, and reports the results.

Everything around the gateways is emulated: endpoints, discovery, the shared counter and clients, with faults
injected into them. The gateways are real processes on loopback (`socket_runner`), or their I/O-free core on a
virtual clock (`virtual_runner`). The observations of the emulated components are written to an event
log (`event_log`). The log and the scenario are the only inputs of the oracle (`oracle`) and of the figures
(`metrics`).
"""
