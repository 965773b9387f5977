"""How long a transaction may be idle on a connection that others wait for.

Load pattern: clients begin transactions, write and then do nothing, until they hold all connections
of a primary whose slots are idle. A transaction that is rolled back for this fails with an error
that states that nothing of it is kept, which is true.
"""

from siskindale.proxy.tables import Group, Target

# Longer than clients take between two statements of a transaction that goes on.
MIN_IDLE_S = 0.5


def idle_limit(idle_limit_s: float, waiting_count: int) -> float:
    """Returns after how many idle seconds a transaction is rolled back."""
    return min(idle_limit_s, max(MIN_IDLE_S, idle_limit_s / (1 + waiting_count)))


def waits_for_connections(group: Group, target: Target, running_limit: int) -> bool:
    """Returns whether statements wait for a target only because its connections are held.

    While the target itself is busy, more connections would not help them.
    """
    needed = any(
        target is group.primary or not waiter.need.primary_only for waiter in group.waiters
    )
    free = bool(target.idle_connections) or target.opening_count > 0
    return needed and not free and target.running_count < running_limit
