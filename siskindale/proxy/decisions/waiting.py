"""Order in which waiting statements get connections.

Answers overload: statements of a higher priority go first, and of equal ones the one with the
earlier deadline. One whose deadline has passed is refused, because its client no longer waits.
"""

from collections.abc import Sequence

import attrs

from siskindale.proxy.tables import Need, Waiter


@attrs.frozen
class Overtaking:
    """Whether a new statement may take a connection before those that wait already.

    `not_primary` keeps the primary's connections for statements that only the primary can run.
    """

    allowed: bool
    not_primary: bool = False


def overtaking(waiters: Sequence[Waiter], need: Need) -> Overtaking:
    """Decides whether a new statement must queue up.

    Answers a lost or full primary: what waits for it alone must not hold up reads that replicas can
    serve.
    """
    ahead = [waiter for waiter in waiters if waiter.need.priority <= need.priority]
    if not ahead:
        return Overtaking(allowed=True)
    if need.primary_only or any(not waiter.need.primary_only for waiter in ahead):
        return Overtaking(allowed=False)
    return Overtaking(allowed=True, not_primary=True)


def service_order(waiters: Sequence[Waiter]) -> list[Waiter]:
    """Returns waiters in the order in which they are served."""
    return sorted(waiters, key=lambda waiter: (waiter.need.priority, waiter.need.deadline))
