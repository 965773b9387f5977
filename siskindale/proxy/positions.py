"""Asks the replicas of a group for the ends of their logs, and stops them from receiving."""

import math
from collections.abc import Iterable

import attrs
import gevent

from siskindale.models.statements import ErrorCode, Reply
from siskindale.platform import wire
from siskindale.proxy.connection import ReplyTimeoutError
from siskindale.proxy.decisions.succession import ReplicaLog
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.tables import Group, Target
from siskindale.runtime.logs import logger

REPLY_TIMEOUT_S = 0.15


def query_logs(
    pool: ConnectionPool, group: Group, targets: Iterable[Target]
) -> dict[str, ReplicaLog]:
    """Asks targets at once for the ends of their logs; returns the answers that came in time."""
    replies = _ask_all(pool, group, targets, wire.encode_status())
    logs = {name: _decode_log(reply) for name, reply in replies.items()}
    return {name: log for name, log in logs.items() if log is not None}


def stop_receiving(
    pool: ConnectionPool, group: Group, targets: Iterable[Target], term: int
) -> dict[str, ReplicaLog]:
    """Stops targets from receiving commits until a promotion or `resume_receiving`.

    Returns the ends of the logs of those that have stopped. `term` is above any known one. A target
    that does not know the request is asked for its log instead.
    """
    targets = list(targets)
    replies = _ask_all(pool, group, targets, wire.encode_pause(term), math.inf)
    logs = {name: _decode_log(reply) for name, reply in replies.items() if reply.error is None}
    unable = [
        target
        for target in targets
        if target.id in replies and replies[target.id].error is ErrorCode.MALFORMED
    ]
    if unable:
        logger().warning(
            "replicas-not-stopped", group=group.name, targets=",".join(t.id for t in unable)
        )
        logs.update(query_logs(pool, group, unable))
    return {name: attrs.evolve(log, stopped=True) for name, log in logs.items() if log is not None}


def resume_receiving(
    pool: ConnectionPool, group: Group, targets: Iterable[Target], send_before: float
) -> set[str]:
    """Lets targets receive commits again; returns the ids of those that have answered.

    After `send_before` nothing is sent any more, because another VM may act by then.
    """
    replies = _ask_all(pool, group, targets, wire.encode_resume(), send_before)
    return {name for name, reply in replies.items() if reply.error is None}


def _ask_all(
    pool: ConnectionPool,
    group: Group,
    targets: Iterable[Target],
    message: bytes,
    send_before: float | None = None,
) -> dict[str, Reply]:
    queries = [
        (target.id, gevent.spawn(_ask, pool, group, target, message, send_before))
        for target in targets
    ]
    gevent.joinall([greenlet for _, greenlet in queries])
    return {name: greenlet.value for name, greenlet in queries if greenlet.value is not None}


def _ask(
    pool: ConnectionPool, group: Group, target: Target, message: bytes, send_before: float | None
) -> Reply | None:
    """Sends one message; returns None without a reply in time.

    With `send_before` it changes what the target does: it is not sent after that time, and
    withdrawn without a reply, as far as the network still holds it.
    """
    connection = pool.acquire_for_control(group, target, REPLY_TIMEOUT_S)
    if connection is None:
        logger().info("log-unknown", target=target.id, reason="no connection in time")
        return None
    if send_before is not None and pool.now() > send_before:
        logger().info("message-outdated", target=target.id, text=message.decode().strip())
        pool.release(group, connection)
        return None
    try:
        connection.send([message])
        reply = connection.receive(REPLY_TIMEOUT_S)
    except (OSError, ReplyTimeoutError, wire.ProtocolError) as error:
        logger().info("log-unknown", target=target.id, reason=repr(error))
        if send_before is not None:
            connection.withdraw()
        pool.close_in_use(group, connection)
        return None
    pool.release(group, connection)
    return reply


def _decode_log(reply: Reply) -> ReplicaLog | None:
    status = wire.decode_status(reply.rows[0]) if reply.rows else None
    if status is not None:
        return ReplicaLog(status.received, status.newest_term, leads=status.leads)
    if reply.position is None:
        return None
    # A target without a free slot refuses the query. Every reply contains the end of the part of
    # its log that can be read.
    return ReplicaLog(reply.position, reply.position.term, exact=False)
