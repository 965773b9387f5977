"""HTTP/1.1 client for targets and the platform: persistent connections, no automatic retries.

A client that reconnects and resends a request could repeat a write. Requests are therefore sent at
most once, and a failure says whether the request may have been sent.
"""

import errno
import socket as system_socket
import time
from collections.abc import Mapping

import attrs
import httptools
from gevent import socket
from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.transport.metrics import TrafficCounters, TrafficPurpose
from siskindale.transport.sockets import PeekResult, peek_socket

MAX_RESPONSE_BYTES = 64 << 20
MAX_IDLE_CONNECTIONS = 4
READ_CHUNK_BYTES = 1 << 16

_WOULD_BLOCK_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK)


@attrs.frozen
class HttpFailure:
    """Failure of a request; it may have taken effect only if `maybe_sent`."""

    maybe_sent: bool
    detail: str


@attrs.frozen
class HttpResponse:
    """Status code, complete body and headers of a response; header names are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = attrs.field(factory=dict)


class _ResponseParser:
    """Collects a response from the callbacks of the parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.keep_alive = False
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.size = 0
        self.complete = False
        self.has_extra_response = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        self.size += len(chunk)
        if self.size > MAX_RESPONSE_BYTES:
            raise ValueError("response is too large")
        self.chunks.append(chunk)

    def on_message_begin(self) -> None:
        self.has_extra_response = self.complete

    def on_message_complete(self) -> None:
        self.complete = True
        # Read here because the parser resets this after the callback.
        self.keep_alive = self.parser.should_keep_alive()


class HttpConnection:
    """One connection, used by one greenlet at a time; unusable after any failure."""

    def __init__(
        self,
        sock: socket.socket,
        address: Address,
        headers: Mapping[str, str],
        traffic: TrafficCounters,
    ) -> None:
        self._socket = sock
        self._traffic = traffic
        self._usable = True
        self._headers = _header_lines({"Host": str(address), **headers})

    @classmethod
    def connect(
        cls,
        address: Address,
        headers: Mapping[str, str],
        timeout_s: float,
        traffic: TrafficCounters,
    ) -> Result["HttpConnection", HttpFailure]:
        """Opens a connection within `timeout_s` seconds."""
        try:
            sock = socket.create_connection((address.host, address.port), max(timeout_s, 0.001))
        except OSError as error:
            return Failure(HttpFailure(False, f"connect to {address}: {error}"))
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        return Success(cls(sock, address, headers, traffic))

    @property
    def usable(self) -> bool:
        """Whether a request may be sent: the connection is open, idle and has no unread input."""
        # End of stream and unread input are detected before a request is sent, so that the failure
        # is reported as "not sent".
        return self._usable and peek_socket(self._socket) is PeekResult.NOTHING

    def close(self) -> None:
        """Closes the connection."""
        self._usable = False
        self._socket.close()

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Sends one request and reads its response; closes the connection on any failure."""
        if not self.usable:
            self.close()
            return Failure(HttpFailure(False, "connection is closed"))
        deadline = time.monotonic() + timeout_s
        # Unusable while a response is outstanding, also if the greenlet is killed in the meantime.
        self._usable = False
        try:
            if not self._send(self._encode(method, path, body, headers or {}), deadline):
                self.close()
                return Failure(HttpFailure(False, "connection is closed"))
            return Success(self._receive(deadline))
        except (OSError, ValueError, httptools.HttpParserError) as error:
            self.close()
            return Failure(HttpFailure(True, f"{method} {path}: {error or type(error).__name__}"))
        except BaseException:
            self.close()
            raise

    def _encode(self, method: str, path: str, body: bytes, headers: Mapping[str, str]) -> bytes:
        length = f"Content-Length: {len(body)}\r\n\r\n"
        head = f"{method} {path} HTTP/1.1\r\n{self._headers}{_header_lines(headers)}{length}"
        return head.encode("ascii") + body

    def _send(self, data: bytes, deadline: float) -> bool:
        """Returns False if no byte was sent; raises if a part may have been sent."""
        try:
            sent = self._socket._sock.send(data)
        except OSError as error:
            if error.errno not in _WOULD_BLOCK_ERRNOS:
                return False
            sent = 0
        self._traffic.sent.inc(len(data))
        if sent < len(data):
            self._socket.settimeout(max(deadline - time.monotonic(), 0.001))
            self._socket.sendall(data[sent:])
        return True

    def _receive(self, deadline: float) -> HttpResponse:
        response = _ResponseParser()
        while not response.complete:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError("timed out")
            self._socket.settimeout(remaining_s)
            data = self._socket.recv(READ_CHUNK_BYTES)
            if not data:
                raise ConnectionError("connection was closed before the response was complete")
            self._traffic.received.inc(len(data))
            response.parser.feed_data(data)
        if response.has_extra_response:
            raise ValueError("more than one response arrived")
        if response.keep_alive:
            self._usable = True
        else:
            self.close()
        return HttpResponse(
            response.parser.get_status_code(), b"".join(response.chunks), response.headers
        )


def _header_lines(headers: Mapping[str, str]) -> str:
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items())


class HttpClient:
    """Client with a pool of idle connections to one address; requests may run concurrently."""

    def __init__(
        self,
        address: Address,
        headers: Mapping[str, str],
        purpose: TrafficPurpose,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
        connect_timeout_s: float = float("inf"),
    ) -> None:
        self._address = address
        self._traffic = TrafficCounters(purpose)
        self._headers = headers
        self._max_idle_connections = max_idle_connections
        self._connect_timeout_s = connect_timeout_s
        self._idle_connections: list[HttpConnection] = []

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Sends one request, at most once, within `timeout_s` seconds."""
        deadline = time.monotonic() + timeout_s
        connected = self._take_connection(timeout_s)
        if isinstance(connected, Failure):
            return connected
        connection = connected.unwrap()
        response = connection.request(method, path, body, deadline - time.monotonic(), headers)
        if connection.usable and len(self._idle_connections) < self._max_idle_connections:
            self._idle_connections.append(connection)
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Closes the idle connections; requests in flight are not interrupted."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def _take_connection(self, timeout_s: float) -> Result[HttpConnection, HttpFailure]:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.usable:
                return Success(connection)
            connection.close()
        connect_limit_s = min(timeout_s, self._connect_timeout_s)
        return HttpConnection.connect(self._address, self._headers, connect_limit_s, self._traffic)


def identity_headers(kind: str, name: str) -> dict[str, str]:
    """Returns the headers that identify the calling program to a server."""
    return {
        "Content-Type": "application/json",
        "X-Client-Kind": kind,
        "X-Client-Name": name,
    }
