"""Queries the log positions of the targets that may become the primary."""

import gevent

from siskindale.models.group import LogPosition
from siskindale.platform import wire
from siskindale.proxy.connection import ReplyTimeoutError, TargetConnection
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.tables import Group, Target
from siskindale.runtime.logs import logger

STATUS_TIMEOUT_S = 0.15
IDLE_CHECK_INTERVAL_S = 0.005


def received_positions(pool: ConnectionPool, group: Group) -> dict[str, LogPosition]:
    """Queries all ready replicas at once; those that do not answer in time are left out."""
    queries = [
        (target.id, gevent.spawn(_received_position, pool, group, target))
        for target in group.targets.values()
        if not target.leaving and target.id != group.leadership.primary_id
    ]
    gevent.joinall([greenlet for _, greenlet in queries], timeout=STATUS_TIMEOUT_S * 2)
    return {
        name: greenlet.value
        for name, greenlet in queries
        if greenlet.ready() and greenlet.value is not None
    }


def _received_position(pool: ConnectionPool, group: Group, target: Target) -> LogPosition | None:
    connection = _idle_connection(pool, target)
    if connection is None:
        return None
    try:
        connection.send([wire.encode_status()])
        reply = connection.receive(STATUS_TIMEOUT_S)
    except (OSError, ReplyTimeoutError, wire.ProtocolError) as error:
        logger().info("status-failed", target=target.id, reason=repr(error))
        pool.close_in_use(group, connection)
        return None
    pool.release(group, connection)
    if reply.rows:
        return wire.decode_received_position(reply.rows[0])
    # A target without a free slot refuses the query, but every reply contains the end of its log.
    return reply.position


def _idle_connection(pool: ConnectionPool, target: Target) -> TargetConnection | None:
    """Returns an idle connection to a target, waiting briefly while all are in use."""
    give_up_at = pool.now() + STATUS_TIMEOUT_S
    while pool.now() < give_up_at:
        connection = pool.take_idle(target)
        if connection is not None:
            return connection
        gevent.sleep(IDLE_CHECK_INTERVAL_S)
    return None
