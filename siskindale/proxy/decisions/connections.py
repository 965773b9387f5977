"""How many connections this VM holds to a target of which all VMs share the connections.

Answers transactions that rest on their connection while the client pauses: a VM takes more than its
even share while others leave theirs unused, and gives them back when they are idle.
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


def even_share(max_connections: int, vms: int) -> int:
    """Returns how many connections to a target each VM may always hold."""
    return max(1, (max_connections - RESERVED_CONNECTIONS) // max(1, vms))


def may_open(target: Target, group: Group, vms: int, now: float) -> bool:
    """Tells whether a statement that waits may open one more connection."""
    if target.closed or now < target.next_open_at:
        return False
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


def surplus(target: Target, group: Group, now: float) -> int:
    """Returns how many idle connections to close."""
    if target.closed or (target.leaving and target.id != group.leadership.target):
        return len(target.idle)
    idle_long = sum(now - connection.used_at > SURPLUS_IDLE_S for connection in target.idle)
    return max(0, min(idle_long, target.open_count - KEPT_IDLE))
