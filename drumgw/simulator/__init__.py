"""Adapter between the simulator's line protocol and the policy engine.

It runs many gateway instances in one process and makes no decisions itself. `wire` translates messages,
`adapter` runs the instances, and `errors` has the exceptions for lines that violate the protocol.
"""
