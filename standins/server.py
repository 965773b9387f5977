"""JSON HTTP server of the stand-ins, based on gevent.pywsgi, with injectable faults."""

import contextlib
import errno
import signal
import socket as system_socket
import sys
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs
import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

from siskindale.models.address import Address

_ENCODER = msgspec.json.Encoder()

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    503: "503 Service Unavailable",
}


class ClientDisconnectedError(ConnectionError):
    """The client closed its connection, or a fault closed it."""


class MalformedRequestError(Exception):
    """The request cannot be decoded."""


@attrs.define
class Faults:
    """Injected faults of a server.

    `delay_ms` delays each response. `cut_from` lists names or kinds of clients that are cut off:
    their requests are not processed, and their connections are closed or, with `cut_mode` "hang",
    never answered. `lose_next_answers` is the number of requests that are processed without
    sending a response; if `lose_paths` is not empty, only requests to these paths count.
    """

    delay_ms: float = 0.0
    cut_from: list[str] = attrs.field(factory=list)
    cut_mode: str = "drop"
    lose_next_answers: int = 0
    lose_paths: list[str] = attrs.field(factory=list)

    def is_cut_off(self, *identity: str) -> bool:
        """Returns whether a client with one of these names or kinds is cut off."""
        return any(name in self.cut_from for name in identity if name)

    def consume_lost_answer(self, path: str) -> bool:
        """Returns whether to drop this response; if so, decrements `lose_next_answers`."""
        if self.lose_next_answers < 1 or (self.lose_paths and path not in self.lose_paths):
            return False
        self.lose_next_answers -= 1
        return True


@attrs.frozen
class Request:
    """HTTP request; `connection` is its handler, which lives as long as the TCP connection."""

    method: str
    path: str
    body: bytes
    connection: "Connection"

    def decode(self, cls: type) -> Any:
        """Decodes the JSON body as `cls`; an empty body counts as an empty object."""
        try:
            return msgspec.json.decode(self.body or b"{}", type=cls)
        except msgspec.MsgspecError as error:
            raise MalformedRequestError(str(error)) from error


@attrs.frozen
class Reply:
    """Status code and body; a body that is not bytes is encoded as JSON."""

    body: Any = attrs.field(factory=dict)
    status: int = 200


Route = Callable[[Request], Reply]


class _Headers(dict[str, str]):
    """Headers of a request, limited to the interface that the base class needs.

    The general-purpose parser of the base class takes a third of the time of a request.
    """

    status = ""
    typeheader = None

    def __init__(self, lines: Any) -> None:
        super().__init__()
        while (line := lines.readline()) not in (b"\r\n", b"\n"):
            name, separator, value = line.decode("latin-1").partition(":")
            if not separator:
                raise ValueError("the header is incomplete")
            self[name.lower()] = value.strip()

    @property
    def headers(self) -> Iterator[str]:
        """Header lines."""
        return (f"{name}: {value}" for name, value in self.items())

    def get(self, name: str, default: Any = None) -> Any:
        """Returns a header; names are case-insensitive."""
        return super().get(name.lower(), default)

    getheader = get


class Connection(WSGIHandler):
    """Handles the requests of one TCP connection in order."""

    client_kind = ""
    client_name = ""
    session: Any = None

    def handle(self) -> None:
        """Serves requests until the connection ends."""
        self.socket.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        self.server.connection_opened(self)
        try:
            super().handle()
        finally:
            self.server.connection_closed(self)

    def read_requestline(self) -> str:
        """Reads the next request line; returns an empty one to close an idle connection."""
        limit = self.server.idle_timeout_s
        if limit is None:
            return super().read_requestline()
        with gevent.Timeout(limit, False):
            return super().read_requestline()
        return ""

    def MessageClass(self, *args: Any) -> _Headers:  # noqa: N802 - named by the base class
        """Parses the headers."""
        return _Headers(args[0])

    def log_request(self) -> None:
        """Disables the access log."""

    def _write_with_headers(self, data: bytes) -> None:
        # The base class sends headers and body separately, which is two packets with TCP_NODELAY.
        self.headers_sent = True
        self.finalize_headers()
        lines = (b"%s: %s\r\n" % header for header in self.response_headers)
        self._sendall(b"HTTP/1.1 %s\r\n%s\r\n%s" % (self.status, b"".join(lines), data))

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment of a request, with this connection added."""
        environ = super().get_environ()
        environ["standin.connection"] = self
        self.client_kind = environ.get("HTTP_X_CLIENT_KIND", "")
        self.client_name = environ.get("HTTP_X_CLIENT_NAME", "")
        return environ

    def shut_down(self) -> None:
        """Shuts the socket down, even while a request is in progress."""
        sock = getattr(self, "socket", None)
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(system_socket.SHUT_RDWR)

    def drop(self) -> None:
        """Aborts the current request without a response and closes the connection."""
        self.close_connection = True
        raise ClientDisconnectedError(errno.ECONNRESET, "dropped")


class Server(WSGIServer):
    """HTTP server that dispatches by path, with hooks for opened and closed connections."""

    def __init__(
        self,
        address: Address,
        routes: Mapping[str, Route],
        faults: Faults,
        network_ms: float = 0.0,
        idle_timeout_s: float | None = None,
    ) -> None:
        super().__init__(
            (address.host, address.port),
            self._serve,
            backlog=1024,
            log=None,
            error_log=sys.stderr,
            handler_class=Connection,
        )
        self.idle_timeout_s = idle_timeout_s
        self.common_headers: list[tuple[str, str]] = [("Content-Type", "application/json")]
        self.connections: set[Connection] = set()
        self._routes = routes
        self._faults = faults
        self._network_s = network_ms / 1000

    def connection_opened(self, connection: Connection) -> None:
        """Called after a TCP connection was accepted."""
        self.connections.add(connection)

    def connection_closed(self, connection: Connection) -> None:
        """Called after a TCP connection has ended."""
        self.connections.discard(connection)

    def cut_connections(self) -> None:
        """Closes open connections of clients that are cut off, unless `cut_mode` is "hang"."""
        if self._faults.cut_mode == "drop":
            for connection in [c for c in self.connections if self._is_cut(c)]:
                connection.shut_down()

    def _is_cut(self, connection: Connection) -> bool:
        return self._faults.is_cut_off(connection.client_kind, connection.client_name)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        connection: Connection = environ["standin.connection"]
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        self._simulate_latency(self._network_s)
        self._enforce_cut(connection)
        reply = self._dispatch(Request(environ["REQUEST_METHOD"], path, body, connection))
        self._simulate_latency(self._network_s + self._faults.delay_ms / 1000)
        self._enforce_cut(connection)
        if path != "/faults" and self._faults.consume_lost_answer(path):
            connection.drop()
        data = reply.body if isinstance(reply.body, bytes) else _ENCODER.encode(reply.body)
        headers = [*self.common_headers, ("Content-Length", str(len(data)))]
        start_response(STATUS_LINES[reply.status], headers)
        return [data]

    def _dispatch(self, request: Request) -> Reply:
        route = self._routes.get(request.path) or self._routes.get(
            request.path.rpartition("/")[0] + "/*"
        )
        if route is None:
            return Reply({"detail": "no such path"}, 404)
        try:
            return route(request)
        except MalformedRequestError as error:
            return Reply({"detail": str(error)}, 400)

    def _simulate_latency(self, seconds: float) -> None:
        if seconds > 0:
            gevent.sleep(seconds)

    def _enforce_cut(self, connection: Connection) -> None:
        if not self._is_cut(connection):
            return
        if self._faults.cut_mode == "hang":
            wait_until_closed(connection.socket)
        connection.drop()


def wait_until_closed(sock: socket.socket) -> None:
    """Blocks until the client closes the connection or sends more data."""
    socket.wait_read(sock.fileno())


@contextlib.contextmanager
def cancel_on_close(sock: socket.socket) -> Iterator[None]:
    """Raises `ClientDisconnectedError` in the calling greenlet when the client disconnects."""
    watcher = gevent.spawn(_kill_on_close, sock, gevent.getcurrent())
    try:
        yield
    finally:
        watcher.kill(block=False)


def _kill_on_close(sock: socket.socket, waiting: gevent.Greenlet) -> None:
    try:
        socket.wait_read(sock.fileno())
        disconnected = sock._sock.recv(1, system_socket.MSG_PEEK) == b""
    except OSError:
        disconnected = True
    if disconnected:
        waiting.kill(ClientDisconnectedError(errno.ECONNRESET, "closed by the client"), block=False)


def serve_until_signal(servers: list[WSGIServer]) -> None:
    """Starts the servers and serves until SIGTERM or SIGINT."""
    stop = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop.set)
    for server in servers:
        server.start()
    stop.wait()


def parse_address(text: str) -> Address:
    """Parses `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
