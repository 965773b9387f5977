"""Small HTTP/1.1 server for probes and metrics: one response a connection.

The WSGI server imports the e-mail and TLS libraries, which a session proxy would wait for at its
start.
"""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

from siskindale.models.address import Address

MAX_REQUEST_BYTES = 1 << 14
REQUEST_TIMEOUT_S = 5.0
READ_BYTES = 1 << 12

_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


@attrs.frozen
class Response:
    """Status and body of a response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"

    def encode(self) -> bytes:
        """Returns the response as it is sent."""
        head = (
            f"HTTP/1.1 {self.status} {_REASONS[self.status]}\r\n"
            f"Content-Type: {self.content_type}\r\n"
            f"Content-Length: {len(self.body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        return head.encode() + self.body


class _Request:
    """Receives the callbacks of the parser."""

    def __init__(self) -> None:
        self.path = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_message_complete(self) -> None:
        self.complete = True


def http_server(address: Address, pages: Mapping[str, Callable[[], Response]]) -> StreamServer:
    """Returns a server that is not started; `pages` are the responses by path."""

    def serve(sock: socket.socket, _: Any) -> None:
        try:
            with gevent.Timeout(REQUEST_TIMEOUT_S, OSError("no whole request in time")):
                path = _read_path(sock)
            page = pages.get(path)
            sock.sendall((Response(404) if page is None else page()).encode())
        except (OSError, httptools.HttpParserError):
            # The caller left or does not speak HTTP; it sees its connection closed.
            return
        finally:
            sock.close()

    return StreamServer((address.host, address.port), serve)


def _read_path(sock: socket.socket) -> str:
    request = _Request()
    parser = httptools.HttpRequestParser(request)
    size = 0
    while not request.complete:
        data = sock.recv(READ_BYTES)
        size += len(data)
        if not data or size > MAX_REQUEST_BYTES:
            raise OSError("no whole request")
        parser.feed_data(data)
    return request.path.partition(b"?")[0].decode("latin-1")
