"""Order in which waiting statements get connections.

Answers overload: statements of a higher priority go first, and of equal ones the one with the
earlier deadline. One whose deadline has passed is refused, because its client no longer waits.
"""

from collections.abc import Sequence

from siskindale.proxy.tables import Waiter


def service_order(waiters: Sequence[Waiter]) -> list[Waiter]:
    """Returns waiters in the order in which they are served."""
    return sorted(waiters, key=lambda waiter: (waiter.need.priority, waiter.need.deadline))
