"""Every decision of a gateway: what to admit, where to send it, when to retry, when to give up.

`engine` takes typed events and returns typed actions; the modules beside it hold one rule or one record
each. Nothing here does I/O or reads a clock. The mechanism is described in docs/design.md.
"""
