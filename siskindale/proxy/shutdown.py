"""Graceful shutdown: closes sessions so that clients move to other VMs without lost requests."""

import gevent

from siskindale.models.vm import ProxySettings
from siskindale.proxy.server import SessionServer
from siskindale.runtime.logs import logger

# The load balancer probes once a second and stops sending clients after two failed probes.
BALANCER_STOP_S = 2.2
# Share of the grace period in which open transactions may end by themselves.
TRANSACTION_GRACE_SHARE = 0.5
# The process exits this long before the end of the grace period, when it would be killed.
EXIT_MARGIN_S = 0.5
CLOSE_INTERVAL_S = 0.05


def drain(settings: ProxySettings, server: SessionServer, now: float) -> None:
    """Closes idle sessions at an even rate, then rolls back transactions and awaits the rest."""
    started = now
    transaction_grace_s = settings.grace_s * TRANSACTION_GRACE_SHARE
    drain_limit_s = settings.grace_s - EXIT_MARGIN_S
    elapsed = 0.0
    while elapsed < drain_limit_s and (server.sessions or elapsed < BALANCER_STOP_S):
        _close_idle_share(server, elapsed, transaction_grace_s)
        if elapsed >= transaction_grace_s:
            _abort_transactions(server)
        gevent.sleep(CLOSE_INTERVAL_S)
        elapsed += CLOSE_INTERVAL_S
    logger().info(
        "drained", sessions=len(server.sessions), took_ms=round((elapsed) * 1000), since=started
    )


def _close_idle_share(server: SessionServer, elapsed: float, duration_s: float) -> None:
    """Closes as many idle sessions as keep the rate even until `duration_s` after the start."""
    remaining_rounds = max(1.0, (duration_s - elapsed) / CLOSE_INTERVAL_S)
    quota = -(-len(server.sessions) // int(remaining_rounds))
    for session in list(server.sessions):
        if quota <= 0:
            return
        quota -= session.close_if_idle()


def _abort_transactions(server: SessionServer) -> None:
    for session in list(server.sessions):
        if session.in_transaction:
            session.abort_transaction("shutdown")
