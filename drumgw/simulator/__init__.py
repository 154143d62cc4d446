"""The adapter to the simulator's wire: plays many gateways in one process, and decides nothing itself.

`wire` maps the simulator's names, `adapter` hosts the gateways, `errors` says what can be wrong with a line.
"""
