"""`python -m drumgw.simulator` runs gateways for the simulator, over standard input and output."""

from __future__ import annotations

import json
import sys
from typing import TextIO

from drumgw.simulator.adapter import SimulatorAdapter
from drumgw.simulator.errors import WireError

EXIT_OK = 0
EXIT_INVALID_LINE = 2


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Processes lines until the input ends or a line violates the protocol, and returns the exit code."""
    adapter = SimulatorAdapter()
    for line_number, line in enumerate(source, start=1):
        try:
            is_reply_due = adapter.receive_line(line)
        except WireError as error:
            print(f"line {line_number}: {error}", file=errors)
            return EXIT_INVALID_LINE
        if is_reply_due:
            reply = adapter.take_reply()
            sink.write("".join(json.dumps(message, separators=(",", ":")) + "\n" for message in reply))
            sink.flush()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
