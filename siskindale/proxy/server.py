"""Servers of the session proxy: client sessions, readiness and metrics."""

from collections.abc import Callable, Iterable
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from siskindale.models.address import Address
from siskindale.platform.readiness import READINESS_PATH
from siskindale.proxy import metrics
from siskindale.proxy.executor import Executor
from siskindale.proxy.session import ClientSession
from siskindale.proxy.state import ProxyState
from siskindale.runtime import counters

ACCEPT_BACKLOG = 1024


class SessionServer:
    """Accepts clients and keeps their sessions."""

    def __init__(self, address: Address, state: ProxyState, executor: Executor) -> None:
        self._state = state
        self._executor = executor
        self._sessions: set[ClientSession] = set()
        self._server = StreamServer(
            (address.host, address.port), self._serve, backlog=ACCEPT_BACKLOG
        )

    @property
    def sessions(self) -> set[ClientSession]:
        """Open sessions."""
        return self._sessions

    def start(self) -> None:
        """Starts accepting."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Closes the listening socket; open sessions go on."""
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        session = ClientSession(sock, self._state, self._executor)
        self._sessions.add(session)
        metrics.SESSIONS.inc()
        try:
            session.run()
        finally:
            self._sessions.discard(session)
            metrics.SESSIONS.dec()


def readiness_server(address: Address, is_ready: Callable[[], bool]) -> WSGIServer:
    """Returns the server of the platform's readiness probe; only the status counts."""

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        if environ["PATH_INFO"] != READINESS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
        elif is_ready():
            start_response("200 OK", [("Content-Length", "0")])
        else:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
        return []

    return WSGIServer((address.host, address.port), app, log=None, error_log=None)


def metrics_server(address: Address) -> WSGIServer:
    """Returns the server of the metrics of this process.

    The metrics library is imported with the first request, because it would delay the start.
    """

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        from prometheus_client import make_wsgi_app

        counters.expose()
        return make_wsgi_app()(environ, start_response)

    return WSGIServer((address.host, address.port), app, log=None, error_log=None)
