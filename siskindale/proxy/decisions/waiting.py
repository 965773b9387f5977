"""Order in which waiting statements get connections.

Under overload, statements of a higher priority go first, and within a priority those with an
earlier deadline. A statement whose deadline has passed is refused, because its client no longer
waits.
"""

from collections.abc import Sequence

import attrs

from siskindale.proxy.tables import Need, Waiter


@attrs.frozen
class QueueBypass:
    """Whether a new statement may take a connection before statements that wait already.

    `except_primary` keeps the primary's connections for statements that only the primary can run.
    """

    allowed: bool
    except_primary: bool = False


def queue_bypass(waiters: Sequence[Waiter], need: Need) -> QueueBypass:
    """Decides whether a new statement must wait behind those that wait already.

    While the primary is lost or has no free connection, statements that wait for it must not block
    reads that replicas can serve.
    """
    queued_before = [waiter for waiter in waiters if waiter.need.priority <= need.priority]
    if not queued_before:
        return QueueBypass(allowed=True)
    if need.primary_only or any(not waiter.need.primary_only for waiter in queued_before):
        return QueueBypass(allowed=False)
    return QueueBypass(allowed=True, except_primary=True)


def service_order(waiters: Sequence[Waiter]) -> list[Waiter]:
    """Returns waiters in the order in which they get connections."""
    return sorted(waiters, key=lambda waiter: (waiter.need.priority, waiter.need.deadline))
