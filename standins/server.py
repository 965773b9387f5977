"""HTTP server of the stand-ins: JSON over pywsgi, with faults that tests switch on and off."""

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


class ClientGoneError(ConnectionError):
    """The client closed its connection, or the connection was cut by a fault."""


class MalformedError(Exception):
    """The request cannot be decoded."""


@attrs.define
class Faults:
    """Faults of a server.

    `delay_ms` delays each response. `cut_from` names clients, or kinds of clients, whose requests
    are not performed: their connections are closed, or with `cut_mode` "hang" never answered.
    `lose_next_answers` is the number of requests that are performed and get no response, limited
    to `lose_paths` unless that is empty.
    """

    delay_ms: float = 0.0
    cut_from: list[str] = attrs.field(factory=list)
    cut_mode: str = "drop"
    lose_next_answers: int = 0
    lose_paths: list[str] = attrs.field(factory=list)

    def cuts(self, *identity: str) -> bool:
        """Whether a client with these names or kinds is cut off."""
        return any(name in self.cut_from for name in identity if name)

    def takes_answer(self, path: str) -> bool:
        """Whether the response to this request is lost; counts it."""
        if self.lose_next_answers < 1 or (self.lose_paths and path not in self.lose_paths):
            return False
        self.lose_next_answers -= 1
        return True


@attrs.frozen
class Request:
    """One request; `connection` is the handler, which lives as long as the TCP connection."""

    method: str
    path: str
    body: bytes
    connection: "Connection"

    def decode(self, cls: type) -> Any:
        """Returns the body as `cls`."""
        try:
            return msgspec.json.decode(self.body or b"{}", type=cls)
        except msgspec.MsgspecError as error:
            raise MalformedError(str(error)) from error


@attrs.frozen
class Reply:
    """Status code and body; a body that is not bytes is encoded as JSON."""

    body: Any = attrs.field(factory=dict)
    status: int = 200


Route = Callable[[Request], Reply]


class _Headers(dict[str, str]):
    """Header of a request, as far as the base class needs it.

    The general parser of the base class takes a third of the time of a request.
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
        """Lines of the header."""
        return (f"{name}: {value}" for name, value in self.items())

    def get(self, name: str, default: Any = None) -> Any:
        """Returns a header by its name in any case."""
        return super().get(name.lower(), default)

    getheader = get


class Connection(WSGIHandler):
    """Handles the requests of one TCP connection in order."""

    client_kind = ""
    client_name = ""
    session: Any = None

    def handle(self) -> None:
        """Serves the connection to its end."""
        self.socket.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        self.server.opened(self)
        try:
            super().handle()
        finally:
            self.server.closed(self)

    def read_requestline(self) -> str:
        """Reads the next request line; an empty one ends an idle connection."""
        limit = self.server.idle_timeout_s
        if limit is None:
            return super().read_requestline()
        with gevent.Timeout(limit, False):
            return super().read_requestline()
        return ""

    def MessageClass(self, *args: Any) -> _Headers:  # noqa: N802 - named by the base class
        """Parses a header."""
        return _Headers(args[0])

    def log_request(self) -> None:
        """Writes nothing."""

    def _write_with_headers(self, data: bytes) -> None:
        # The base class sends header and body apart, which is two packets with TCP_NODELAY.
        self.headers_sent = True
        self.finalize_headers()
        lines = (b"%s: %s\r\n" % header for header in self.response_headers)
        self._sendall(b"HTTP/1.1 %s\r\n%s\r\n%s" % (self.status, b"".join(lines), data))

    def get_environ(self) -> dict[str, Any]:
        """Returns the environment of a request with this connection in it."""
        environ = super().get_environ()
        environ["standin.connection"] = self
        self.client_kind = environ.get("HTTP_X_CLIENT_KIND", "")
        self.client_name = environ.get("HTTP_X_CLIENT_NAME", "")
        return environ

    def cut(self) -> None:
        """Closes the connection under the request in progress."""
        sock = getattr(self, "socket", None)
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(system_socket.SHUT_RDWR)

    def drop(self) -> None:
        """Ends the request in progress without a response."""
        self.close_connection = True
        raise ClientGoneError(errno.ECONNRESET, "dropped")


class Server(WSGIServer):
    """Serves routes by path; subclasses react to connections that open and close."""

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
        self.connections: set[Connection] = set()
        self._routes = routes
        self._faults = faults
        self._network_s = network_ms / 1000

    def opened(self, connection: Connection) -> None:
        """Called when a TCP connection was accepted."""
        self.connections.add(connection)

    def closed(self, connection: Connection) -> None:
        """Called when a TCP connection has ended."""
        self.connections.discard(connection)

    def cut_connections(self) -> None:
        """Closes the connections of clients that are cut off by a fault."""
        if self._faults.cut_mode == "drop":
            for connection in [c for c in self.connections if self._is_cut(c)]:
                connection.cut()

    def _is_cut(self, connection: Connection) -> bool:
        return self._faults.cuts(connection.client_kind, connection.client_name)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        connection: Connection = environ["standin.connection"]
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        self._travel(self._network_s)
        self._check_cut(connection)
        reply = self._perform(Request(environ["REQUEST_METHOD"], path, body, connection))
        self._travel(self._network_s + self._faults.delay_ms / 1000)
        self._check_cut(connection)
        if path != "/faults" and self._faults.takes_answer(path):
            connection.drop()
        data = reply.body if isinstance(reply.body, bytes) else _ENCODER.encode(reply.body)
        start_response(
            STATUS_LINES[reply.status],
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]

    def _perform(self, request: Request) -> Reply:
        route = self._routes.get(request.path) or self._routes.get(
            request.path.rpartition("/")[0] + "/*"
        )
        if route is None:
            return Reply({"detail": "no such path"}, 404)
        try:
            return route(request)
        except MalformedError as error:
            return Reply({"detail": str(error)}, 400)

    def _travel(self, seconds: float) -> None:
        if seconds > 0:
            gevent.sleep(seconds)

    def _check_cut(self, connection: Connection) -> None:
        if not self._is_cut(connection):
            return
        if self._faults.cut_mode == "hang":
            wait_closed(connection.socket)
        connection.drop()


def wait_closed(sock: socket.socket) -> None:
    """Blocks until the client closes the connection, or sends more without being answered."""
    socket.wait_read(sock.fileno())


@contextlib.contextmanager
def cancelled_by_close(sock: socket.socket) -> Iterator[None]:
    """Raises `ClientGoneError` in the calling greenlet when the client closes its connection."""
    watcher = gevent.spawn(_watch, sock, gevent.getcurrent())
    try:
        yield
    finally:
        watcher.kill(block=False)


def _watch(sock: socket.socket, waiting: gevent.Greenlet) -> None:
    try:
        socket.wait_read(sock.fileno())
        gone = sock._sock.recv(1, system_socket.MSG_PEEK) == b""
    except OSError:
        gone = True
    if gone:
        waiting.kill(ClientGoneError(errno.ECONNRESET, "closed by the client"), block=False)


def serve_until_signal(servers: list[WSGIServer]) -> None:
    """Starts the servers and serves until SIGTERM or SIGINT."""
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    for server in servers:
        server.start()
    stop.wait()


def parse_address(text: str) -> Address:
    """Returns the address of `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
