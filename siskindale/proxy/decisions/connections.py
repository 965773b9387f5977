"""How many connections this VM holds to a target whose connection limit all VMs share.

A transaction occupies its connection while its client is idle. A VM may therefore exceed its even
share while other VMs leave theirs unused, and closes the surplus once it is idle.

When all VMs restart, the connections of the lost processes still count against the limit, and the
first VMs to start may take the rest. A VM without any connection reports that it is starved, and
the others close connections for it.
"""

from siskindale.proxy.tables import Group, Target

# Kept free for VMs that start, and for connections of lost VMs that the target still counts.
RESERVED_CONNECTIONS = 2
# Opening a connection occupies a slot for as long as several statements do, so idle connections are
# not closed at once.
SURPLUS_IDLE_TIMEOUT_S = 0.8
MAX_SHARE_FACTOR = 3
# A target counts the connections of a lost VM for seconds. With a single idle connection per VM,
# enough connections are free when all VMs restart.
MIN_OPEN_CONNECTIONS = 1
# How long a VM counts as starved after the target refused a connection, and how long other VMs
# leave connections to it after its message.
STARVED_PERIOD_S = 0.5
YIELD_PERIOD_S = 1.0


def even_share(max_connections: int, vm_count: int) -> int:
    """Returns the number of connections to a target that each VM may hold at any time."""
    return max(1, (max_connections - RESERVED_CONNECTIONS) // max(1, vm_count))


def may_open(target: Target, group: Group, vm_count: int, now: float) -> bool:
    """Returns whether one more connection may be opened for a waiting statement.

    Opening occupies a slot for longer than most statements do, so connections to a target are
    opened one at a time. This also limits the load when all VMs restart at once.
    """
    if target.closed or target.opening_count or now < target.next_open_at:
        return False
    if now < target.yield_until:
        return target.open_count + target.opening_count < MIN_OPEN_CONNECTIONS
    limit = min(
        group.limits.max_connections,
        even_share(group.limits.max_connections, vm_count) * MAX_SHARE_FACTOR,
    )
    return target.open_count + target.opening_count < limit


def min_open_connections(target: Target, group: Group) -> int:
    """Returns the number of connections to keep open without any load."""
    if target.leaving and target.id != group.leadership.primary_id:
        return 0
    return MIN_OPEN_CONNECTIONS


def must_yield(target: Target, now: float) -> bool:
    """Returns whether to close a released connection, so that a starved VM can open one."""
    return now < target.yield_until and target.open_count > MIN_OPEN_CONNECTIONS


def is_starved(target: Target, now: float) -> bool:
    """Returns whether the target lately refused this VM a connection while it has none."""
    refused_lately = target.full_at is not None and now - target.full_at < STARVED_PERIOD_S
    return refused_lately and target.open_count == 0


def surplus_idle_count(
    target: Target, group: Group, now: float, minimum: int = MIN_OPEN_CONNECTIONS
) -> int:
    """Returns the number of idle connections to close, so that `minimum` stay open.

    Connections that serve a single workspace are left to `bound_connections`.
    """
    if target.closed or (target.leaving and target.id != group.leadership.primary_id):
        return len(target.idle_connections)
    idle_limit = 0.0 if now < target.yield_until else SURPLUS_IDLE_TIMEOUT_S
    long_idle = sum(
        now - connection.used_at >= idle_limit
        for connection in target.idle_connections
        if not connection.workspace
    )
    return max(0, min(long_idle, target.open_count - minimum))
