"""The kernel's record of when a TCP connection last received data (`TCP_INFO` of Linux)."""

from __future__ import annotations

import socket
import struct
import sys
from typing import Protocol

AGES = struct.Struct("@44xIIII")
"""`tcpi_last_data_sent`, `tcpi_last_ack_sent`, `tcpi_last_data_recv` and `tcpi_last_ack_recv` in Linux's
`struct tcp_info`, in milliseconds."""


class SocketOptions(Protocol):
    """A socket, or an event loop's substitute for it."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Reads a socket option."""


class ReceiveAges:
    """Reads how long ago connections last received data.

    A system that emulates Linux may leave the fields empty, which reads as "just now". They are trusted once
    one of them was not empty.
    """

    def __init__(self) -> None:
        self._is_linux = sys.platform == "linux"  # other systems lay out the structure differently
        self._are_filled = False

    def read_ms(self, sock: SocketOptions) -> float | None:
        """Returns the age of the last data that a socket received, whether it has been read or not.

        Returns:
            The age in milliseconds, precise to a tick of the kernel (10 ms at most); None if it is unknown.
        """
        if not self._is_linux:
            return None
        try:
            ages = AGES.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, AGES.size))
        except (OSError, struct.error):  # not TCP, or an older and shorter structure
            return None
        self._are_filled = self._are_filled or any(ages)
        return float(ages[2]) if self._are_filled else None


receive_ages = ReceiveAges()
"""Shared by all connections, as what a system fills in is the same for each of them."""
