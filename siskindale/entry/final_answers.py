"""Answer to a request that no pool has completed."""

from siskindale.entry.tables import PendingRequest
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.wire import Answer

NO_POOL_RETRY_MS = 1000


def final_answer(pending: PendingRequest, now: float) -> Answer:
    """Returns the answer, which is `not_run` only if each pool that was asked has said so."""
    attempts = pending.attempts
    request_id = pending.request.request_id
    if not attempts:
        return Answer(request_id, Outcome.NOT_RUN, refusal=_not_sent_refusal(pending, now))
    if all(attempt.outcome is Outcome.NOT_RUN for attempt in attempts):
        return Answer(request_id, Outcome.NOT_RUN, refusal=attempts[-1].refusal)
    details = [a.refusal.detail for a in attempts if a.refusal and a.outcome is Outcome.UNKNOWN]
    detail = details[-1] if details else "no pool answered within the deadline"
    return Answer(request_id, Outcome.UNKNOWN, refusal=Refusal(RefusalKind.ANSWER_LOST, detail))


def _not_sent_refusal(pending: PendingRequest, now: float) -> Refusal:
    if now >= pending.deadline:
        detail = "the deadline passed before the request could be sent to a pool"
        return Refusal(RefusalKind.DEADLINE_EXCEEDED, detail)
    return Refusal(RefusalKind.UNAVAILABLE, "no pool of this database is known", NO_POOL_RETRY_MS)
