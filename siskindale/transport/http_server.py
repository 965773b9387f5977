"""Minimal HTTP/1.1 server for probes and metrics: one response per connection.

gevent's WSGI server imports the email and TLS libraries, which would delay the start of a session
proxy.
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
READ_CHUNK_BYTES = 1 << 12

_REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


@attrs.frozen
class Response:
    """Status and body of a response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"

    def encode(self) -> bytes:
        """Returns the bytes of the response."""
        head = (
            f"HTTP/1.1 {self.status} {_REASON_PHRASES[self.status]}\r\n"
            f"Content-Type: {self.content_type}\r\n"
            f"Content-Length: {len(self.body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        return head.encode() + self.body


class _RequestParser:
    """Collects a request from the callbacks of the parser."""

    def __init__(self) -> None:
        self.path = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_message_complete(self) -> None:
        self.complete = True


def create_http_server(
    address: Address, handlers: Mapping[str, Callable[[], Response]]
) -> StreamServer:
    """Creates a server without starting it; `handlers` return the responses by path."""

    def serve(sock: socket.socket, _: Any) -> None:
        try:
            with gevent.Timeout(REQUEST_TIMEOUT_S, OSError("request timed out")):
                path = _read_path(sock)
            handler = handlers.get(path)
            sock.sendall((Response(404) if handler is None else handler()).encode())
        except (OSError, httptools.HttpParserError):
            # The client disconnected, is too slow or does not speak HTTP: close the connection.
            return
        finally:
            sock.close()

    return StreamServer((address.host, address.port), serve)


def _read_path(sock: socket.socket) -> str:
    request = _RequestParser()
    parser = httptools.HttpRequestParser(request)
    size = 0
    while not request.complete:
        data = sock.recv(READ_CHUNK_BYTES)
        size += len(data)
        if not data or size > MAX_REQUEST_BYTES:
            raise OSError("request is incomplete or too large")
        parser.feed_data(data)
    return request.path.partition(b"?")[0].decode("latin-1")
