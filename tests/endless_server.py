"""A server in a thread of its own that answers with bytes that never end, as fast as they are read."""

from __future__ import annotations

import itertools
import socket
import threading
from enum import Enum

from tests.scripted_server import http_response

BLOCK_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Endless(Enum):
    """What an answer consists of: its start, and what follows again and again."""

    INFORMATIONAL = b"", b"HTTP/1.1 102 Processing\r\n\r\n"
    EMPTY_LINES = b"", b"\r\n"
    EMPTY_LINES_AFTER_1XX = b"HTTP/1.1 102 Processing\r\n\r\n", b"\r\n"
    NOISE = b"", b"\x00\xff~"
    HEADER = b"HTTP/1.1 200 OK\r\nX-Note: ", b"y"
    HEADERS = b"HTTP/1.1 200 OK\r\n", b"X-Note: y\r\n"
    BODY = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", b"y"
    BODY_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n", b"y"
    CHUNKS = CHUNKED_HEAD, b"10000\r\n" + 0x10000 * b"y" + b"\r\n"
    SMALL_CHUNKS = CHUNKED_HEAD, b"1\r\ny\r\n"
    CHUNK_SIZE = CHUNKED_HEAD, b"0"
    CHUNK_EXTENSION = CHUNKED_HEAD + b"1;", b"y"
    EXTENDED_CHUNKS = CHUNKED_HEAD, b"1;" + 100 * b"e" + b"\r\ny\r\n"
    TRAILER = CHUNKED_HEAD + b"0\r\nX-Note: ", b"y"
    TRAILERS = CHUNKED_HEAD + b"0\r\n", b"X-Note: y\r\n"
    SURPLUS_ANSWERS = b"", http_response(b"1")

    @property
    def start(self) -> bytes:
        """How the answer begins."""
        return self.value[0]

    @property
    def block(self) -> bytes:
        """What follows, as often as it fits into a block."""
        repeated: bytes = self.value[1]
        return repeated * max(1, BLOCK_BYTES // len(repeated))


class EndlessServer:
    """Answers the first requests with given responses, and each further one without end.

    Args:
        endless: What it answers.
        responses: The responses to the first requests of all connections.

    Attributes:
        address: host:port.
        ended: Set whenever the other side has closed a connection with an endless answer on it.
        endless_count: How many endless answers it has begun.
    """

    def __init__(self, endless: Endless, *responses: bytes) -> None:
        self.ended = threading.Event()
        self.endless_count = 0
        self._endless = endless
        self._responses = iter(responses)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening; a thread ends with its connection."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                while _read_request(connection):
                    response = next(self._responses, None)
                    if response is None:
                        self._answer_without_end(connection)
                    else:
                        connection.sendall(response)
            except OSError:
                return

    def _answer_without_end(self, connection: socket.socket) -> None:
        self.endless_count += 1
        try:
            connection.sendall(self._endless.start)
            for block in itertools.repeat(self._endless.block):
                connection.sendall(block)
        finally:
            self.ended.set()


def _read_request(connection: socket.socket) -> bool:
    """Reads a request without a body; returns False at the end of the connection."""
    request = b""
    while HEAD_END not in request:
        data = connection.recv(BLOCK_BYTES)
        if not data:
            return False
        request += data
    return True
