"""Tables and statements of the workload.

The events table has no unique constraint on the uid, so that a write that runs twice leaves two
rows for the checks to find.
"""

from collections.abc import Iterator

TABLES = (
    "CREATE TABLE IF NOT EXISTS events (uid TEXT, session TEXT, seq INTEGER)",
    "CREATE INDEX IF NOT EXISTS events_by_session ON events (session, seq)",
    "CREATE TABLE IF NOT EXISTS registers (name TEXT PRIMARY KEY, value TEXT)",
)
INITIAL = "initial"

READ_OWN = "SELECT ?, (SELECT MAX(seq) FROM events WHERE session = ?)"
READ_LARGE = (
    "WITH RECURSIVE numbers(n) AS"
    " (SELECT 1 UNION ALL SELECT n + 1 FROM numbers WHERE n < ?) SELECT ?, n FROM numbers"
)
WRITE_EVENT = "INSERT INTO events VALUES (?, ?, ?) RETURNING uid"
READ_REGISTER = "SELECT ?, value FROM registers WHERE name = ?"
WRITE_REGISTER = "UPDATE registers SET value = ? WHERE name = ? RETURNING value"

ALL_EVENTS = "SELECT uid, session, seq FROM events"
ALL_REGISTERS = "SELECT name, value FROM registers"


def register_names(count: int) -> list[str]:
    """Returns the names of the registers."""
    return [f"r{number:03d}" for number in range(count)]


def setup_statements(registers: int) -> Iterator[tuple[str, tuple[str, ...]]]:
    """Yields the statements that create and fill the tables."""
    yield from ((sql, ()) for sql in TABLES)
    for name in register_names(registers):
        yield "INSERT OR IGNORE INTO registers VALUES (?, ?)", (name, INITIAL)


def with_cost(sql: str, cost_ms: float) -> str:
    """Returns the statement with a comment that sets how long it occupies a slot of a target."""
    return f"/* cost_ms={cost_ms:g} */ {sql}" if cost_ms else sql
