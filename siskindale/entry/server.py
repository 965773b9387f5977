"""HTTP server of the callers' API: limits on connections and time, and the drain."""

import enum
import socket
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent import pywsgi

from siskindale.context import Clock
from siskindale.entry import metrics, problems
from siskindale.entry.header_block import HeaderBlock
from siskindale.entry.problems import Problem, refuse
from siskindale.models.outcomes import Refusal, RefusalKind
from siskindale.models.settings import EntrySettings
from siskindale.runtime.logs import logger

IDLE_LIMIT_S = 75.0
READ_LIMIT_S = 10.0
WRITE_LIMIT_S = 60.0
WATCH_INTERVAL_S = 0.5
# Connections that are idle at the drain may carry one more request, which is refused in words.
DRAIN_IDLE_S = 1.0
DRAIN_POLL_S = 0.02
REFUSAL_LIMIT_S = 1.0
READ_BYTES = 64 << 10
JOINED_BYTES = 64 << 10
BACKLOG = 1024

Application = Callable[..., Any]


class Phase(enum.Enum):
    """What a connection is doing, with the time it may take."""

    IDLE = IDLE_LIMIT_S
    READING = READ_LIMIT_S
    WORKING = None
    WRITING = WRITE_LIMIT_S


class Handler(pywsgi.WSGIHandler):
    """One connection of a caller."""

    server: "CallerServer"

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._phase = Phase.IDLE
        self._since = 0.0

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""
        return self._phase

    def enter(self, phase: Phase) -> None:
        """Notes the start of a phase."""
        self._phase = phase
        self._since = self.server.clock.monotonic()

    def age_s(self, now: float) -> float:
        """Seconds in the present phase."""
        return now - self._since

    def cut(self) -> None:
        """Ends a phase that takes too long: a reader sees the end, a writer an error."""
        how = socket.SHUT_RDWR if self._phase is Phase.WRITING else socket.SHUT_RD
        try:
            self.socket.shutdown(how)
        except (OSError, AttributeError):
            return

    def MessageClass(self, *args: Any) -> HeaderBlock:  # noqa: N802 - named by the base class
        """Parses the header."""
        return HeaderBlock(args[0])

    def read_requestline(self) -> str:
        """Waits for the first byte of a request, then reads its first line."""
        self.enter(Phase.IDLE)
        self.rfile.peek(1)
        self.enter(Phase.READING)
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Rejects a body whose length two programs could understand differently."""
        valid = super().read_request(raw_requestline)
        coding = self.headers.get("transfer-encoding")
        lengths = set(self.headers.get_all("content-length"))
        if len(lengths) > 1 or (coding is not None and coding.lower() != "chunked"):
            raise ValueError("ambiguous length of the body")
        return valid

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Announces the end of the connection while the server drains."""
        self.enter(Phase.WRITING)
        if self.server.draining and not any(name.lower() == "connection" for name, _ in headers):
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _headers(self) -> Iterator[tuple[str, str]]:
        return self.headers.environ()

    def _write_with_headers(self, data: bytes) -> None:
        """Sends head and a small body by one system call, unlike the base class."""
        self.headers_sent = True
        self.finalize_headers()
        fields = b"".join(b"%b: %b\r\n" % field for field in self.response_headers)
        head = b"HTTP/1.1 %b\r\n%b\r\n" % (self.status, fields)
        if len(data) > JOINED_BYTES or self.response_use_chunked:
            self._sendall(head)
            self._write(data)
        else:
            self._sendall(head + data)

    def log_request(self) -> None:
        """Writes nothing: the gateway logs each request."""

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        detail = f"the request is not valid HTTP: {ex or type(ex).__name__}"
        return "400", _raw_response("400 Bad Request", refuse(RefusalKind.MALFORMED, detail))


class CallerServer(pywsgi.WSGIServer):
    """Accepts callers up to the limit of the settings."""

    def __init__(self, settings: EntrySettings, application: Application, clock: Clock) -> None:
        listen = (settings.listen.host, settings.listen.port)
        super().__init__(
            listen,
            application,
            backlog=BACKLOG,
            log=None,
            error_log=ErrorLog(),
            handler_class=Handler,
        )
        self.clock = clock
        self._max_callers = settings.max_callers
        self._handlers: set[Handler] = set()
        self._draining = False
        self._watcher_greenlet: gevent.Greenlet | None = None

    @property
    def draining(self) -> bool:
        """Whether each answer is the last one of its connection."""
        return self._draining

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._handlers)

    def start(self) -> None:
        """Listens and watches the limits on time."""
        super().start()
        self._watcher_greenlet = gevent.spawn(self._watch)

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one connection."""
        # Without TCP_NODELAY, head and body of an answer wait for the caller's delayed ACK:
        # a kept connection then carries 184 requests/s instead of 13,400.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._handlers) >= self._max_callers:
            metrics.REFUSED_CONNECTIONS.inc()
            _refuse_connection(sock)
            return
        handler = Handler(sock, address, self)
        handler.enter(Phase.IDLE)
        self._handlers.add(handler)
        metrics.CONNECTIONS.inc()
        try:
            handler.handle()
        finally:
            self._handlers.discard(handler)
            metrics.CONNECTIONS.dec()

    def drain(self) -> None:
        """Accepts nothing new and blocks until every request is answered."""
        self._draining = True
        self.close()
        end = self.clock.monotonic() + DRAIN_IDLE_S
        while self._handlers:
            if self.clock.monotonic() > end:
                self._cut_idle()
            gevent.sleep(DRAIN_POLL_S)
        if self._watcher_greenlet is not None:
            self._watcher_greenlet.kill()

    def _cut_idle(self) -> None:
        for handler in list(self._handlers):
            if handler.phase is Phase.IDLE:
                handler.cut()

    def _watch(self) -> None:
        while True:
            gevent.sleep(WATCH_INTERVAL_S)
            now = self.clock.monotonic()
            for handler in list(self._handlers):
                limit = handler.phase.value
                if limit is not None and handler.age_s(now) > limit:
                    handler.cut()


class ErrorLog:
    """Destination of the server's own error messages."""

    def write(self, text: str) -> None:
        """Logs one message."""
        if text.strip():
            logger().warning("http-error", detail=text.strip())

    def flush(self) -> None:
        """Has nothing to flush."""


def _refuse_connection(sock: Any) -> None:
    """Tells the caller why, and waits a moment: a reset would discard what was said."""
    sock.settimeout(REFUSAL_LIMIT_S)
    try:
        sock.sendall(_TOO_MANY_CONNECTIONS)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(READ_BYTES)
    except OSError:
        return


def _raw_response(status: str, problem: Problem) -> bytes:
    content = problems.document(problem, "")
    head = {**problems.headers(problem), "Content-Length": str(len(content)), "Connection": "close"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + content


_TOO_MANY_CONNECTIONS = _raw_response(
    "503 Service Unavailable",
    Problem(
        Refusal(RefusalKind.OVERLOADED, "this entry has no room for more connections", 1000),
        status=503,
    ),
)
