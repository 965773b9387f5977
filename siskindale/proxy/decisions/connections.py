"""How many connections this VM holds to a target of which all VMs share the connections.

Answers transactions that rest on their connection while the client pauses: a VM takes more than its
even share while others leave theirs unused, and gives them back when they are idle.

Also answers the restart of all VMs, when the first ones take what is left beside the connections
of the lost processes: a VM without any connection says so, and the others give way.
"""

from siskindale.proxy.tables import Group, Target

# Left to VMs that start, and to connections of lost VMs that the target has not dropped yet.
RESERVED_CONNECTIONS = 2
# Opening takes a slot for several statements' time, so idle connections are kept for a while.
SURPLUS_IDLE_S = 0.8
MAX_SHARE_FACTOR = 3
# A target counts the connections of a lost VM for seconds. While each VM keeps a single idle one, a
# restart of all VMs finds enough connections free.
KEPT_IDLE = 1
# How long a VM counts as starved after a refusal, and how long others give way after its message.
STARVED_S = 0.5
YIELD_S = 1.0


def even_share(max_connections: int, vms: int) -> int:
    """Returns how many connections to a target each VM may always hold."""
    return max(1, (max_connections - RESERVED_CONNECTIONS) // max(1, vms))


def may_open(target: Target, group: Group, vms: int, now: float) -> bool:
    """Tells whether a statement that waits may open one more connection.

    Answers the herd after a loss of all VMs, too: each opening takes a slot for longer than most
    statements, so connections to a target are opened one after the other.
    """
    if target.closed or target.opening or now < target.next_open_at:
        return False
    if now < target.yield_until:
        return target.open_count + target.opening < KEPT_IDLE
    limit = min(
        group.limits.max_connections,
        even_share(group.limits.max_connections, vms) * MAX_SHARE_FACTOR,
    )
    return target.open_count + target.opening < limit


def warm_count(target: Target, group: Group) -> int:
    """Returns how many connections to keep open without any load."""
    if target.leaving and target.id != group.leadership.target:
        return 0
    return KEPT_IDLE


def must_yield(target: Target, now: float) -> bool:
    """Tells whether a connection that is released is closed for the benefit of another VM."""
    return now < target.yield_until and target.open_count > KEPT_IDLE


def is_starved(target: Target, now: float) -> bool:
    """Tells whether this VM lately got no connection to a target and has none."""
    refused_lately = target.full_at is not None and now - target.full_at < STARVED_S
    return refused_lately and target.open_count == 0


def surplus(target: Target, group: Group, now: float) -> int:
    """Returns how many idle connections to close."""
    if target.closed or (target.leaving and target.id != group.leadership.target):
        return len(target.idle)
    idle_limit = 0.0 if now < target.yield_until else SURPLUS_IDLE_S
    idle_long = sum(now - connection.used_at >= idle_limit for connection in target.idle)
    return max(0, min(idle_long, target.open_count - KEPT_IDLE))
