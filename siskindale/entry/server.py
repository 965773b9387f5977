"""HTTP server of the callers' API, with connection limits, timeouts and draining."""

import enum
import socket
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent import pywsgi

from siskindale.context import Clock
from siskindale.entry import metrics, problems
from siskindale.entry.header_block import HeaderBlock
from siskindale.entry.problems import Problem, refusal_problem
from siskindale.models.outcomes import Refusal, RefusalKind
from siskindale.models.settings import EntrySettings
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise

IDLE_TIMEOUT_S = 75.0
READ_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 60.0
TIMEOUT_CHECK_INTERVAL_S = 0.5
# While draining, an idle connection may carry one more request, refused with a problem document.
DRAIN_IDLE_GRACE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.02
REFUSAL_TIMEOUT_S = 1.0
REFUSAL_READ_BYTES = 64 << 10
SINGLE_WRITE_MAX_BYTES = 64 << 10
LISTEN_BACKLOG = 1024

# Entry of the environment of a request: when it began to arrive, in seconds of the own clock.
RECEIVED_AT = "siskindale.received_at"

Application = Callable[..., Any]


class ConnectionPhase(enum.Enum):
    """Activity of a connection; the value is its timeout in seconds, None for no timeout."""

    IDLE = IDLE_TIMEOUT_S
    READING = READ_TIMEOUT_S
    WORKING = None
    WRITING = WRITE_TIMEOUT_S


class ConnectionHandler(pywsgi.WSGIHandler):
    """One connection of a caller."""

    server: "CallerServer"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._phase = ConnectionPhase.IDLE
        self._phase_started_at = 0.0

    @property
    def phase(self) -> ConnectionPhase:
        """Current phase of the connection."""
        return self._phase

    def enter_phase(self, phase: ConnectionPhase) -> None:
        """Records the start of a phase."""
        self._phase = phase
        self._phase_started_at = self.server.clock.monotonic()

    def phase_age_s(self, now: float) -> float:
        """Seconds since the current phase started."""
        return now - self._phase_started_at

    def interrupt(self) -> None:
        """Interrupts the current phase: a read sees the end of the stream, a write fails."""
        direction = socket.SHUT_RDWR if self._phase is ConnectionPhase.WRITING else socket.SHUT_RD
        try:
            self.socket.shutdown(direction)
        except (OSError, AttributeError):
            return

    def MessageClass(self, *args: Any) -> HeaderBlock:  # noqa: N802 - named by the base class
        """Parses the header block."""
        return HeaderBlock(args[0])

    def read_requestline(self) -> str:
        """Waits for the first byte of a request, then reads the request line."""
        self.enter_phase(ConnectionPhase.IDLE)
        self.rfile.peek(1)
        self.enter_phase(ConnectionPhase.READING)
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Rejects a body whose length two programs could interpret differently."""
        valid = super().read_request(raw_requestline)
        transfer_encoding = self.headers.get("transfer-encoding")
        lengths = set(self.headers.get_all("content-length"))
        if len(lengths) > 1 or (
            transfer_encoding is not None and transfer_encoding.lower() != "chunked"
        ):
            raise ValueError("ambiguous length of the body")
        return valid

    def get_environ(self) -> dict[str, Any]:
        """Adds the time at which the first byte of the request was read."""
        environ: dict[str, Any] = super().get_environ()
        environ[RECEIVED_AT] = self._phase_started_at
        return environ

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Adds `Connection: close` while the server drains."""
        self.enter_phase(ConnectionPhase.WRITING)
        if self.server.draining and not any(name.lower() == "connection" for name, _ in headers):
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _headers(self) -> Iterator[tuple[str, str]]:
        return self.headers.environ_items()

    def _write_with_headers(self, data: bytes) -> None:
        """Sends the head and a small body in one system call, unlike the base class."""
        self.headers_sent = True
        self.finalize_headers()
        fields = b"".join(b"%b: %b\r\n" % field for field in self.response_headers)
        head = b"HTTP/1.1 %b\r\n%b\r\n" % (self.status, fields)
        if len(data) > SINGLE_WRITE_MAX_BYTES or self.response_use_chunked:
            self._sendall(head)
            self._write(data)
        else:
            self._sendall(head + data)

    def log_request(self) -> None:
        """Does nothing: the gateway logs each request."""

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        detail = f"the request is not valid HTTP: {ex or type(ex).__name__}"
        return "400", _raw_response(
            "400 Bad Request", refusal_problem(RefusalKind.MALFORMED, detail)
        )


class CallerServer(pywsgi.WSGIServer):
    """Accepts connections of callers up to the limit in the settings."""

    def __init__(self, settings: EntrySettings, application: Application, clock: Clock) -> None:
        listen = (settings.listen.host, settings.listen.port)
        super().__init__(
            listen,
            application,
            backlog=LISTEN_BACKLOG,
            log=None,
            error_log=ErrorLog(),
            handler_class=ConnectionHandler,
        )
        self.clock = clock
        self._max_callers = settings.max_callers
        self._handlers: set[ConnectionHandler] = set()
        self._draining = False
        self._timeout_greenlet: gevent.Greenlet | None = None

    @property
    def draining(self) -> bool:
        """Whether each response closes its connection."""
        return self._draining

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._handlers)

    @property
    def reading_count(self) -> int:
        """Number of connections on which a request has begun to arrive."""
        return sum(handler.phase is ConnectionPhase.READING for handler in self._handlers)

    def start(self) -> None:
        """Listens and starts enforcing the timeouts."""
        super().start()
        self._timeout_greenlet = supervise(self._enforce_timeouts)

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one connection."""
        # Without TCP_NODELAY, head and body of a response wait for the caller's delayed ACK:
        # a persistent connection then carries 184 requests/s instead of 13,400.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._handlers) >= self._max_callers:
            metrics.REFUSED_CONNECTIONS.inc()
            _refuse_connection(sock)
            return
        handler = ConnectionHandler(sock, address, self)
        handler.enter_phase(ConnectionPhase.IDLE)
        self._handlers.add(handler)
        metrics.CONNECTIONS.inc()
        try:
            handler.handle()
        finally:
            self._handlers.discard(handler)
            metrics.CONNECTIONS.dec()

    def drain(self) -> None:
        """Stops accepting connections and blocks until all connections are closed."""
        self._draining = True
        self.close()
        grace_ends_at = self.clock.monotonic() + DRAIN_IDLE_GRACE_S
        while self._handlers:
            if self.clock.monotonic() > grace_ends_at:
                self._interrupt_idle()
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        if self._timeout_greenlet is not None:
            self._timeout_greenlet.kill()

    def _interrupt_idle(self) -> None:
        for handler in list(self._handlers):
            if handler.phase is ConnectionPhase.IDLE:
                handler.interrupt()

    @long_lived("entry-timeouts")
    def _enforce_timeouts(self) -> None:
        while True:
            gevent.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = self.clock.monotonic()
            for handler in list(self._handlers):
                timeout_s = handler.phase.value
                if timeout_s is not None and handler.phase_age_s(now) > timeout_s:
                    handler.interrupt()


class ErrorLog:
    """File-like object that logs the error messages of the base server."""

    def write(self, text: str) -> None:
        """Logs one message."""
        if text.strip():
            logger().warning("http-error", detail=text.strip())

    def flush(self) -> None:
        """Does nothing: messages are not buffered."""


def _refuse_connection(sock: Any) -> None:
    """Sends a refusal and waits briefly for the caller: an immediate reset would discard it."""
    sock.settimeout(REFUSAL_TIMEOUT_S)
    try:
        sock.sendall(_TOO_MANY_CONNECTIONS)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(REFUSAL_READ_BYTES)
    except OSError:
        return


def _raw_response(status: str, problem: Problem) -> bytes:
    content = problems.encode_document(problem, "")
    head = {
        **problems.response_headers(problem),
        "Content-Length": str(len(content)),
        "Connection": "close",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + content


_TOO_MANY_CONNECTIONS = _raw_response(
    "503 Service Unavailable",
    Problem(
        Refusal(RefusalKind.OVERLOADED, "this entry has no room for more connections", 1000),
        status=503,
    ),
)
