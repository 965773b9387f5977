"""Keyed writes: the key, the write and its result share a transaction of the users' database.

The first batch inserts the key and runs the statement; the second records the result and commits.
Until the second batch is sent, the write definitely has no effect.
"""

import msgspec

from siskindale.models.outcomes import RefusalKind
from siskindale.models.wire import StatementRequest, StatementResult
from siskindale.pool.tables import GroupRow, RequestRow, Tables
from siskindale.targets.interface import Begin, Commit, Statement, Step

CREATE_REQUESTS = (
    "CREATE TABLE IF NOT EXISTS siskindale_requests (caller TEXT NOT NULL, key TEXT NOT NULL, "
    "digest TEXT NOT NULL, created_ms INTEGER NOT NULL, result TEXT, PRIMARY KEY (caller, key))"
)
CREATE_INDEX = (
    "CREATE INDEX IF NOT EXISTS siskindale_requests_created ON siskindale_requests (created_ms)"
)
CREATE_WATERMARK = (
    "CREATE TABLE IF NOT EXISTS siskindale_watermark "
    "(id INTEGER PRIMARY KEY, pruned_before INTEGER NOT NULL)"
)
INSERT_KEY = (
    "INSERT INTO siskindale_requests (caller, key, digest, created_ms) SELECT ?, ?, ?, ? "
    "WHERE ? > COALESCE((SELECT pruned_before FROM siskindale_watermark WHERE id = 1), 0)"
)
RECORD_RESULT = "UPDATE siskindale_requests SET result = ? WHERE caller = ? AND key = ?"
LOOK_UP = "SELECT digest, result FROM siskindale_requests WHERE caller = ? AND key = ?"
ADVANCE_WATERMARK = (
    "INSERT INTO siskindale_watermark (id, pruned_before) VALUES (1, ?) "
    "ON CONFLICT (id) DO UPDATE SET pruned_before = MAX(pruned_before, excluded.pruned_before)"
)
DELETE_PRUNED = (
    "DELETE FROM siskindale_requests WHERE (caller, key) IN (SELECT caller, key FROM "
    "siskindale_requests WHERE created_ms <= ? ORDER BY created_ms LIMIT ?)"
)
PRUNE_BATCH_SIZE = 100
PRUNE_INTERVAL_S = 10.0
# A key may be retried until its retention ends; the margin covers clock skew between VMs.
PRUNE_MARGIN_MS = 60_000
INSERT_STEP = 1
STATEMENT_STEP = 2

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(StatementResult)


def uuid7_time_ms(key: str) -> int | None:
    """Returns the timestamp of a UUIDv7 in milliseconds since the epoch, None for other text."""
    digits = key.replace("-", "")
    if len(digits) != 32 or digits[12] != "7":
        return None
    try:
        int(digits, 16)
    except ValueError:
        return None
    return int(digits[:12], 16)


def key_refusal(
    tables: Tables, body: StatementRequest, now: float
) -> tuple[RefusalKind, str] | None:
    """Returns why a write cannot run with its key, None if it can or has no key."""
    if body.key is None:
        return None
    created = uuid7_time_ms(body.key)
    if created is None:
        return RefusalKind.MALFORMED, "the idempotency key is not a UUIDv7"
    retention = tables.classes[body.statement_class].key_retention_s
    if created < (now + tables.wall_clock_offset_s - retention) * 1000:
        return RefusalKind.KEY_EXPIRED, "the idempotency key is older than its retention"
    return None


def insert_steps(body: StatementRequest) -> tuple[Step, ...]:
    """Returns the first batch of a keyed write."""
    assert body.key is not None
    created = uuid7_time_ms(body.key)
    return (
        Begin("write"),
        Statement(INSERT_KEY, (body.caller, body.key, body.digest, created, created)),
        Statement(body.sql, body.params),
    )


def record_steps(body: StatementRequest, result: StatementResult) -> tuple[Step, ...]:
    """Returns the second batch of a keyed write."""
    recorded = _ENCODER.encode(result).decode()
    return (Statement(RECORD_RESULT, (recorded, body.caller, body.key)), Commit())


def lookup_steps(body: StatementRequest) -> tuple[Step, ...]:
    """Returns the batch that reads the recorded result of a key."""
    return (Begin("read"), Statement(LOOK_UP, (body.caller, body.key)), Commit())


def schema_steps() -> tuple[Step, ...]:
    """Returns the batch that creates the tables for keyed writes, if they do not exist."""
    statements = (CREATE_REQUESTS, CREATE_INDEX, CREATE_WATERMARK)
    return (Begin("write"), *(Statement(sql) for sql in statements), Commit())


def prune_steps(cutoff_ms: int) -> tuple[Step, ...]:
    """Returns the transaction that advances the watermark and deletes some keys below it."""
    return (
        Begin("write"),
        Statement(ADVANCE_WATERMARK, (cutoff_ms,)),
        Statement(DELETE_PRUNED, (cutoff_ms, PRUNE_BATCH_SIZE)),
        Commit(),
    )


def prune_cutoff_ms(tables: Tables, now: float) -> int:
    """Returns the time in milliseconds before which no class needs a key any more."""
    retention = max((c.key_retention_s for c in tables.classes.values()), default=0)
    return int((now + tables.wall_clock_offset_s - retention) * 1000) - PRUNE_MARGIN_MS


def prune_due(group: GroupRow, now: float) -> bool:
    """Whether this pool, as the first of the group, should prune now."""
    idle = group.primary is not None and not group.primary.running_batches
    return (
        group.rank == 0
        and group.writable
        and group.schema_ready
        and idle
        and not group.prune_in_flight
        and now - group.last_prune_at >= PRUNE_INTERVAL_S
    )


def recorded_result(request: RequestRow) -> tuple[str, StatementResult | None] | None:
    """Returns the digest and result that a lookup found, None if the key does not exist."""
    rows = request.result.rows if request.result is not None else ()
    if not rows:
        return None
    digest, text = rows[0]
    return str(digest), _DECODER.decode(str(text)) if text is not None else None
