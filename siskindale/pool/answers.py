"""Ends of requests: every request row is answered exactly once, here."""

from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.wire import Answer
from siskindale.pool.effects import Effect, Reply
from siskindale.pool.tables import Phase, RequestRow, Stage, Tables

# Stages that have no effect unless a later one follows; none follows after the deadline.
NO_EFFECT = frozenset({Stage.KEY_INSERT, Stage.SCHEMA, Stage.BEGIN})


def refusal(
    request_id: str, outcome: Outcome, kind: RefusalKind, detail: str, retry_ms: int | None = None
) -> Answer:
    """Returns an answer without a result."""
    return Answer(request_id, outcome, refusal=Refusal(kind, detail, retry_ms))


def end(tables: Tables, request: RequestRow, answer: Answer) -> list[Effect]:
    """Removes a request and answers it; internal requests have nobody to answer."""
    if request.phase is Phase.ENDED:
        return []
    if request.phase is Phase.QUEUED:
        request.group.queues[request.lane][request.statement_class].live -= 1
    request.phase = Phase.ENDED
    del tables.requests[request.number]
    if request.transaction is not None and request.transaction.request is request:
        request.transaction.request = None
    if request.reply is None:
        return []
    tables.callers[request.body.caller] -= 1
    return [Reply(request, request.reply, answer)]


def refuse(
    tables: Tables,
    request: RequestRow,
    kind: RefusalKind,
    detail: str,
    retry_ms: int | None = None,
) -> list[Effect]:
    """Refuses a request; the outcome is unknown once a commit with an unknown outcome was sent."""
    if request.unsure_term:
        return lose(tables, request, detail)
    answer = refusal(request.body.request_id, Outcome.NOT_RUN, kind, detail, retry_ms)
    return end(tables, request, answer)


def lose(tables: Tables, request: RequestRow, detail: str) -> list[Effect]:
    """Ends a request whose effect is unknown."""
    answer = refusal(request.body.request_id, Outcome.UNKNOWN, RefusalKind.ANSWER_LOST, detail)
    return end(tables, request, answer)


def succeed(
    tables: Tables, request: RequestRow, age_s: float | None = None, transaction: str | None = None
) -> list[Effect]:
    """Answers a request with the result of its last batch."""
    batch = request.batch
    position, role = LogPosition(), ""
    if batch is not None:
        position, role = LogPosition(batch.term, batch.at.position), batch.role.value
    answer = Answer(
        request.body.request_id,
        Outcome.DONE,
        result=request.result,
        transaction=transaction,
        position=position,
        target=request.served_by,
        role=role,
        age_ms=None if age_s is None else age_s * 1000,
    )
    return end(tables, request, answer)


def expire(tables: Tables, request: RequestRow) -> list[Effect]:
    """Ends a request at its deadline; `not_run` only if nothing of it can take effect."""
    if request.phase in (Phase.QUEUED, Phase.WAITING):
        certain = not request.sent or request.stage in NO_EFFECT
    else:
        certain = request.phase is Phase.RUNNING and request.stage in NO_EFFECT
    if not certain:
        return lose(tables, request, "the deadline passed before the outcome was known")
    return refuse(
        tables, request, RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before it was run"
    )
