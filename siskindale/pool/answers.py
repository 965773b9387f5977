"""Answers: the only place where requests end, so that each is answered exactly once."""

from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.wire import Answer
from siskindale.pool.effects import Effect, Reply
from siskindale.pool.stages import Phase, Stage
from siskindale.pool.tables import RequestRow, Tables

# Stages without an effect unless a later stage follows; none follows after the deadline.
NO_EFFECT_STAGES = frozenset({Stage.KEY_INSERT, Stage.SCHEMA, Stage.BEGIN})


def refusal_answer(
    request_id: str, outcome: Outcome, kind: RefusalKind, detail: str, retry_ms: int | None = None
) -> Answer:
    """Returns an answer that carries a refusal instead of a result."""
    return Answer(request_id, outcome, refusal=Refusal(kind, detail, retry_ms))


def end_request(tables: Tables, request: RequestRow, answer: Answer) -> list[Effect]:
    """Removes a request and answers it; internal requests get no answer."""
    if request.phase is Phase.ENDED:
        return []
    if request.phase is Phase.QUEUED:
        request.group.queues[request.queue_kind][request.statement_class].queued_count -= 1
    request.phase = Phase.ENDED
    del tables.requests[request.number]
    if request.transaction is not None and request.transaction.request is request:
        request.transaction.request = None
    if request.reply_handle is None:
        return []
    tables.in_flight_by_caller[request.body.caller] -= 1
    return [Reply(request, request.reply_handle, answer)]


def refuse(
    tables: Tables,
    request: RequestRow,
    kind: RefusalKind,
    detail: str,
    retry_ms: int | None = None,
) -> list[Effect]:
    """Refuses a request; the outcome is unknown if an earlier commit has an unknown outcome."""
    if request.unknown_commit_term:
        return end_unknown(tables, request, detail)
    answer = refusal_answer(request.body.request_id, Outcome.NOT_RUN, kind, detail, retry_ms)
    return end_request(tables, request, answer)


def end_unknown(tables: Tables, request: RequestRow, detail: str) -> list[Effect]:
    """Ends a request of which it is unknown whether it took effect."""
    answer = refusal_answer(
        request.body.request_id, Outcome.UNKNOWN, RefusalKind.ANSWER_LOST, detail
    )
    return end_request(tables, request, answer)


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
    return end_request(tables, request, answer)


def expire(tables: Tables, request: RequestRow) -> list[Effect]:
    """Ends a request at its deadline, as not run only if it can no longer take effect."""
    if request.phase in (Phase.QUEUED, Phase.WAITING):
        has_no_effect = not request.was_sent or request.stage in NO_EFFECT_STAGES
    else:
        has_no_effect = request.phase is Phase.RUNNING and request.stage in NO_EFFECT_STAGES
    if not has_no_effect:
        return end_unknown(tables, request, "the deadline passed before the outcome was known")
    return refuse(
        tables, request, RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before it was run"
    )
