"""Routing: selects the primary, or a replica by freshness, load and distance."""

from siskindale.pool.systems import connections, freshness
from siskindale.pool.tables import GroupRow, RequestRow, Tables, TargetRow


def available_primary(tables: Tables, group: GroupRow, now: float) -> TargetRow | None:
    """Returns the primary if it can take at least a read now."""
    target = group.primary
    if target is None or not group.writable or not connections.has_read_capacity(target):
        return None
    return target if connections.accepts_new_work(tables, target, now) else None


def eligible_replicas(
    tables: Tables, group: GroupRow, request: RequestRow, now: float
) -> list[TargetRow]:
    """Returns the replicas whose answers are likely to pass the freshness checks."""
    return [
        target
        for target in group.targets.values()
        if target is not group.primary
        and target.open_connections
        and now >= target.avoided_until
        and connections.accepts_new_work(tables, target, now)
        and freshness.may_satisfy(group, target, request, now)
    ]


def least_loaded(candidates: list[TargetRow]) -> TargetRow | None:
    """Returns the least loaded, then nearest candidate with free capacity, if there is one."""
    free = [target for target in candidates if connections.has_capacity(target)]
    return min(
        free,
        key=lambda t: (t.running_batches / t.slots, t.distance, t.service_time_s, t.name),
        default=None,
    )
