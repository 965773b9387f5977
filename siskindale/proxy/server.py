"""Servers of the session proxy: client sessions, readiness and metrics."""

import functools
import socket as system_socket
from collections.abc import Callable
from typing import Any, TypeVar

from gevent import socket
from gevent.server import StreamServer

from siskindale.models.address import Address
from siskindale.platform.readiness import READINESS_PATH
from siskindale.proxy import metrics
from siskindale.proxy.listening import ACCEPT_BACKLOG, AddressUnavailableError
from siskindale.proxy.runners import Runners
from siskindale.proxy.session import ClientSession
from siskindale.proxy.state import ProxyState
from siskindale.runtime.logs import logger
from siskindale.transport.http_server import Response, create_http_server

METRICS_PATH = "/metrics"

T = TypeVar("T")


class SessionServer:
    """Accepts client connections and runs a session on each of them."""

    def __init__(
        self,
        address: Address,
        state: ProxyState,
        runners: Runners,
        listener: system_socket.socket | None,
    ) -> None:
        self._state = state
        self._runners = runners
        self._sessions: set[ClientSession] = set()
        self._refusing = False
        opened = listener or _listen_for_clients(address)
        self._server = StreamServer(socket.socket(fileno=opened.detach()), self._serve)

    @property
    def sessions(self) -> set[ClientSession]:
        """Open sessions."""
        return self._sessions

    @property
    def unfinished_count(self) -> int:
        """Number of sessions, without those that have sent nothing yet."""
        return sum(session.started for session in self._sessions)

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def close_idle(self, quota: int) -> None:
        """Closes at most `quota` sessions that wait for a request."""
        for session in list(self._sessions):
            if quota <= 0:
                return
            quota -= _attempt("session-not-closed", session.close_if_idle) or 0

    def refuse_requests(self) -> None:
        """Accepts no more connections, and refuses the next request of each session."""
        self._refusing = True
        self._server.close()
        for session in self._sessions:
            session.refuse_requests()

    def abort_transactions(self) -> None:
        """Rolls back the transactions of sessions that run no statement at the moment."""
        for session in list(self._sessions):
            abort = functools.partial(session.abort_transaction, "shutdown")
            _attempt("transaction-not-aborted", abort)

    def _serve(self, sock: socket.socket, _: Any) -> None:
        session = ClientSession(sock, self._state, self._runners)
        if self._refusing:
            session.refuse_requests()
        self._sessions.add(session)
        metrics.SESSIONS.inc()
        try:
            session.run()
        finally:
            self._sessions.discard(session)
            metrics.SESSIONS.dec()


def _attempt(event: str, action: Callable[[], T]) -> T | None:
    """Runs an action on one session; a failure is logged as `event` and concerns no other."""
    try:
        return action()
    except Exception:
        logger().exception(event)
        return None


def _listen_for_clients(address: Address) -> system_socket.socket:
    try:
        return system_socket.create_server((address.host, address.port), backlog=ACCEPT_BACKLOG)
    except OSError as error:
        raise AddressUnavailableError("clients", address, error) from error


def readiness_server(address: Address, is_ready: Callable[[], bool]) -> StreamServer:
    """Returns the server for the platform's readiness probe, which reads only the status code."""
    return create_http_server(
        address, {READINESS_PATH: lambda: Response(200 if is_ready() else 503)}
    )


def metrics_server(address: Address) -> StreamServer:
    """Returns the server for the metrics of this process."""
    return create_http_server(address, {METRICS_PATH: _metrics_response})


def _metrics_response() -> Response:
    # Imported at the first request, because the metrics library would delay the start.
    from siskindale.runtime.health import metrics_response

    return metrics_response()
