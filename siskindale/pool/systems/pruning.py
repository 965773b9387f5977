"""Pruning: removal of old idempotency keys in small batches while slots are free."""

from siskindale.models.wire import StatementRequest
from siskindale.pool.effects import Effect
from siskindale.pool.systems import batches, connections, idempotency, routing
from siskindale.pool.tables import GroupRow, RequestRow, Stage, Tables

PRUNE_TIMEOUT_S = 1.0


def prune(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Starts one pruning batch when one is due; it has no caller."""
    if not idempotency.prune_due(group, now):
        return []
    target = routing.primary(tables, group, now)
    if target is None or not connections.ready(target):
        return []
    group.pruned_at, group.pruning = now, True
    request = RequestRow(
        number=tables.next_number(),
        body=StatementRequest("", "", group.name, "", "write", "", (), 0.0, 0),
        reply=None,
        group=group,
        statement_class="",
        arrived=now,
        deadline=now + PRUNE_TIMEOUT_S,
        stage=Stage.PRUNE,
    )
    tables.requests[request.number] = request
    return batches.start(tables, request, connections.take(target), now)
