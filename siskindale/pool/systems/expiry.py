"""Expiry: deadlines of requests, and the request ids that were seen."""

import math

from siskindale.pool import answers
from siskindale.pool.effects import Effect
from siskindale.pool.systems import transactions
from siskindale.pool.tables import Phase, RequestRow, Tables

# A copy that comes later than this after the budget is recognised by its delay.
SEEN_MARGIN_S = 5.0


def seen(tables: Tables, request_id: str, deadline: float, now: float) -> bool:
    """Notes a request id until its deadline has passed; returns whether it was noted before."""
    if request_id in tables.seen:
        return True
    bucket = math.ceil(deadline + SEEN_MARGIN_S)
    tables.seen[request_id] = bucket
    tables.seen_buckets.setdefault(bucket, []).append(request_id)
    return False


def forget_seen(tables: Tables, now: float) -> None:
    """Drops the ids whose time has passed; looks once a second."""
    if now < tables.seen_swept + 1:
        return
    tables.seen_swept = math.floor(now)
    for bucket in [bucket for bucket in tables.seen_buckets if bucket <= now]:
        for request_id in tables.seen_buckets.pop(bucket):
            tables.seen.pop(request_id, None)


def deadline(tables: Tables, request: RequestRow, now: float) -> list[Effect]:
    """Ends a request at its deadline."""
    if request.phase is Phase.ENDED:
        return []
    transaction = request.transaction
    if transaction is not None and transaction.number in tables.transactions:
        return transactions.abort(tables, transaction)
    return answers.expire(tables, request)
