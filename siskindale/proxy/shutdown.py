"""Graceful shutdown: sessions move to other VMs without losing a request."""

import gevent

from siskindale.models.vm import ProxySettings
from siskindale.proxy.server import SessionServer
from siskindale.runtime.logs import logger

# The balancer sends no new connections after two failed probes, one a second.
BALANCER_S = 2.2
# Open transactions have the first half of the grace period to end.
TRANSACTION_SHARE = 0.5
# The process ends before it is killed.
EXIT_MARGIN_S = 0.5
CLOSE_INTERVAL_S = 0.05


def drain(settings: ProxySettings, server: SessionServer, now: float) -> None:
    """Closes idle sessions evenly, then ends transactions, then waits for what still runs."""
    started = now
    transactions_end = settings.grace_s * TRANSACTION_SHARE
    end = settings.grace_s - EXIT_MARGIN_S
    elapsed = 0.0
    while elapsed < end and (server.sessions or elapsed < BALANCER_S):
        _close_share(server, elapsed, transactions_end)
        if elapsed >= transactions_end:
            _abort_transactions(server)
        gevent.sleep(CLOSE_INTERVAL_S)
        elapsed += CLOSE_INTERVAL_S
    logger().info(
        "drained", sessions=len(server.sessions), took_ms=round((elapsed) * 1000), since=started
    )


def _close_share(server: SessionServer, elapsed: float, span: float) -> None:
    """Closes the share of idle sessions that keeps the rate even until `span` seconds."""
    steps = max(1.0, (span - elapsed) / CLOSE_INTERVAL_S)
    quota = -(-len(server.sessions) // int(steps))
    for session in list(server.sessions):
        if quota <= 0:
            return
        quota -= session.close_if_idle()


def _abort_transactions(server: SessionServer) -> None:
    for session in list(server.sessions):
        if session.in_transaction:
            session.abort_transaction("shutdown")
