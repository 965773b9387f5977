"""Routing: the primary, or the replica that is fresh enough, little loaded and near."""

from siskindale.pool.systems import connections, freshness
from siskindale.pool.tables import GroupRow, RequestRow, Tables, TargetRow


def primary(tables: Tables, group: GroupRow, now: float) -> TargetRow | None:
    """Returns the primary if it can take at least a read now."""
    target = group.primary
    if target is None or not group.writable or not connections.ready_for_read(target):
        return None
    return target if connections.allowed(tables, target, now) else None


def replicas(tables: Tables, group: GroupRow, request: RequestRow, now: float) -> list[TargetRow]:
    """Returns the replicas that would probably pass the checks on their answer."""
    return [
        target
        for target in group.targets.values()
        if target is not group.primary
        and target.open
        and now >= target.avoided_until
        and connections.allowed(tables, target, now)
        and freshness.promising(group, target, request, now)
    ]


def best(candidates: list[TargetRow]) -> TargetRow | None:
    """Returns the candidate with free capacity, the lowest load and the smallest distance."""
    free = [target for target in candidates if connections.ready(target)]
    return min(
        free, key=lambda t: (t.running / t.slots, t.distance, t.service_s, t.name), default=None
    )
