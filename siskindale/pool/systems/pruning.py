"""Pruning: removes old idempotency keys in small batches while the primary is idle."""

from siskindale.models.wire import StatementRequest
from siskindale.pool.effects import Effect
from siskindale.pool.stages import Stage
from siskindale.pool.systems import batches, connections, idempotency, routing
from siskindale.pool.tables import GroupRow, RequestRow, Tables

PRUNE_TIMEOUT_S = 1.0


def prune(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Starts a pruning batch, as an internal request without a caller, if one is due."""
    if not idempotency.prune_due(group, now):
        return []
    target = routing.available_primary(tables, group, now)
    if target is None or not connections.has_capacity(target):
        return []
    group.last_prune_at, group.prune_in_flight = now, True
    request = RequestRow(
        number=tables.next_number(),
        body=StatementRequest("", "", group.name, "", "write", "", (), 0.0, 0),
        reply_handle=None,
        group=group,
        statement_class="",
        arrived_at=now,
        deadline=now + PRUNE_TIMEOUT_S,
        stage=Stage.PRUNE,
    )
    tables.requests[request.number] = request
    return batches.start(tables, request, connections.take_idle(target), now)
