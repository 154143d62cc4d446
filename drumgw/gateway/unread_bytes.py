"""How many bytes wait unread in a socket, and whether they may hide that the peer has closed it.

A close arrives behind all that the peer sent before. Bytes that the kernel's receive buffer does not accept
wait at the peer's side, and the close with them.
"""

from __future__ import annotations

import array
import fcntl
import socket
import termios

FULL_FRACTION = 0.5
"""A receive buffer that is not read further fills up beyond this fraction if the peer has more to send."""


def unread_bytes(connection: socket.socket) -> int:
    """Returns how many bytes the kernel has received and the process has not read; 0 if it does not tell."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(connection.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return count[0]


def may_hide_close(connection: socket.socket) -> bool:
    """Whether the peer may have closed the connection behind bytes that do not fit into the buffer."""
    unread = unread_bytes(connection)
    if not unread:
        return False
    return unread >= FULL_FRACTION * connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
