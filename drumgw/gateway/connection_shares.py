"""What the connections of one listener share: budgets of memory, and turns of the event loop."""

from __future__ import annotations

from typing import NamedTuple

from drumgw.gateway.receive_budget import ReceiveBudget
from drumgw.gateway.send_budget import SendBudget
from drumgw.gateway.turn_scheduler import TurnScheduler


class ConnectionShares(NamedTuple):
    """What the connections of a listener share."""

    received: ReceiveBudget
    unsent: SendBudget
    reading: TurnScheduler
    """Parses what was read; rests while there is no memory for further requests."""
    handling: TurnScheduler
    """Starts requests that waited behind others; never rests, as that frees the memory."""
