"""Serving: which groups the pool serves, with their targets, shares and queues."""

from siskindale.models.bundle import Group, TargetState
from siskindale.pool.stages import QueueKind, TimerKind
from siskindale.pool.systems import connections, timers
from siskindale.pool.tables import GroupRow, QueueRow, Tables, TargetRow

SUBSTITUTE_DURATION_S = 30.0


def update_groups(tables: Tables, now: float) -> None:
    """Creates, updates and drops group rows after a change of the bundle or the directory."""
    assert tables.bundle is not None
    for definition in tables.bundle.groups:
        rank = own_rank(tables, definition.name, ())
        row = tables.groups.get(definition.name)
        if rank is not None and rank < tables.bundle.pools_per_group:
            serve_group(tables, definition, rank, now)
        elif row is not None:
            row.rank = None
            apply_definition(tables, row, definition, row.substitute_rank, now)
    for row in list(tables.groups.values()):
        drop_if_unused(tables, row, now)


def own_rank(tables: Tables, group: str, excluded: tuple[str, ...]) -> int | None:
    """Returns the rank of this pool among the pools of a group, without the excluded ones."""
    order = [vm for vm in tables.ranks.get(group, ()) if vm not in excluded]
    return order.index(tables.settings.vm) if tables.settings.vm in order else None


def serve_group(tables: Tables, definition: Group, rank: int, now: float) -> GroupRow:
    """Makes the pool serve a group at the given rank."""
    row = tables.groups.get(definition.name)
    if row is None:
        row = tables.groups[definition.name] = GroupRow(definition)
        timers.schedule(tables, now, TimerKind.POLL, row)
    row.rank = rank
    apply_definition(tables, row, definition, rank, now)
    return row


def serve_as_substitute(tables: Tables, definition: Group, rank: int, now: float) -> GroupRow:
    """Serves a group temporarily in place of pools that an entry found unavailable."""
    row = tables.groups.get(definition.name)
    if row is None:
        row = serve_group(tables, definition, rank, now)
        row.rank = None
    row.substitute_rank = rank
    row.substitute_until = now + SUBSTITUTE_DURATION_S
    return row


def apply_definition(
    tables: Tables, row: GroupRow, definition: Group, rank: int, now: float
) -> None:
    """Updates the targets, shares and queues of a group from its definition."""
    assert tables.bundle is not None
    row.definition = definition
    names = {target.name for target in definition.targets}
    for name in [name for name in row.targets if name not in names]:
        del row.targets[name]
    for target in definition.targets:
        target_row = row.targets.get(target.name)
        if target_row is None or target_row.definition.data != target.data:
            target_row = row.targets[target.name] = TargetRow(target, row)
        target_row.definition = target
        target_row.slots = connections.pool_share(target.slots, tables.bundle.pools_per_group, rank)
        target_row.max_connections = connections.pool_share(
            target.connections, tables.bundle.pools_per_group, rank
        )
        target_row.distance = int(target.failure_domain != tables.settings.failure_domain)
        _mark_leaving(tables, target_row, now)
    if row.primary is not None and row.targets.get(row.primary.name) is not row.primary:
        row.primary = row.targets.get(row.primary.name)
    _update_queues(tables, row)
    tables.mark_dirty(row)


def _mark_leaving(tables: Tables, target: TargetRow, now: float) -> None:
    leaving = target.definition.state is TargetState.LEAVING or target.name in tables.leaving
    if not leaving:
        target.leaving_since = None
    elif target.leaving_since is None:
        target.leaving_since = now
        timers.schedule(
            tables, now + connections.LEAVING_PRIMARY_GRACE_S, TimerKind.OPEN, target.group
        )


def _update_queues(tables: Tables, row: GroupRow) -> None:
    assert tables.bundle is not None
    for kind in QueueKind:
        old = row.queues.get(kind, {})
        new = {
            c.name: old.pop(c.name) if c.name in old else QueueRow(c) for c in tables.bundle.classes
        }
        for entry in tables.bundle.classes:
            new[entry.name].statement_class = entry
        # Classes removed from the bundle keep their queues until the group is dropped, because
        # admitted requests may be queued there again; there are few such classes.
        row.queues[kind] = new | old


def drop_if_unused(tables: Tables, row: GroupRow, now: float) -> bool:
    """Drops a group that the pool need not serve any longer; returns whether it did."""
    unused = _is_unused(tables, row, now)
    if unused:
        _drop_group(tables, row.name)
    return unused


def _is_unused(tables: Tables, row: GroupRow, now: float) -> bool:
    if row.name in tables.group_definitions and (
        row.rank is not None or now < row.substitute_until
    ):
        return False
    busy = any(
        connection.busy or connection.transaction
        for t in row.targets.values()
        for connection in t.open_connections.values()
    )
    return not busy and not any(
        q.queued_count for by_class in row.queues.values() for q in by_class.values()
    )


def _drop_group(tables: Tables, name: str) -> None:
    row = tables.groups[name]
    for target in row.targets.values():
        target.max_connections = 0
    # The connections close when `connections.maintain` next processes the changed group.
    tables.mark_dirty(row)
    row.dropped = True
    del tables.groups[name]
