"""Expiry: request deadlines, and the request ids that detect duplicates."""

import math

from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.systems import transactions
from siskindale.pool.tables import Tables

# A duplicate that arrives later than this after the budget is rejected because of its delay.
SEEN_MARGIN_S = 5.0


def check_duplicate(tables: Tables, request_id: str, deadline: float, now: float) -> bool:
    """Returns whether a request id was seen before; records a new one until after its deadline."""
    if request_id in tables.seen_ids:
        return True
    bucket = math.ceil(deadline + SEEN_MARGIN_S)
    tables.seen_ids[request_id] = bucket
    tables.seen_ids_by_expiry.setdefault(bucket, []).append(request_id)
    return False


def forget_expired_ids(tables: Tables, now: float) -> None:
    """Drops the ids that have expired; runs at most once a second."""
    if now < tables.seen_swept_at + 1:
        return
    tables.seen_swept_at = math.floor(now)
    for bucket in [bucket for bucket in tables.seen_ids_by_expiry if bucket <= now]:
        for request_id in tables.seen_ids_by_expiry.pop(bucket):
            tables.seen_ids.pop(request_id, None)


def expire_request(tables: Tables, number: int) -> list[Effect]:
    """Ends a request at its deadline; the timer of one that has ended retains only its number."""
    request = tables.requests.get(number)
    if request is None:
        return []
    transaction = request.transaction
    if transaction is not None and transaction.number in tables.transactions:
        return transactions.abort(tables, transaction)
    return answers.expire(tables, request)
