"""In-memory table service whose state a test sets."""

from collections.abc import Sequence

import attrs
from returns.result import Failure, Result, Success

from siskindale.platform.interface import (
    Condition,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)


@attrs.define
class FakeTables:
    """Table service; `up` is False while it refuses every request."""

    rows: dict[tuple[str, str], Row] = attrs.field(factory=dict)
    version: int = 0
    up: bool = True

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the present row."""
        if not self.up:
            return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "down"))
        row = self.rows.get((table, key))
        return Success(None if row is None or row.deleted else row)

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version."""
        if not self.up:
            return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "down"))
        found = [r for r in self.rows.values() if r.table == table and r.version > after_version]
        return Success(sorted(found, key=lambda r: r.version))

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes if all conditions hold."""
        if not self.up:
            return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "down"))
        present = {k: r.version for k, r in self.rows.items() if not r.deleted}
        if any(present.get((c.table, c.key), 0) != c.version for c in conditions):
            return Failure(PlatformError(PlatformFailure.CONFLICT, "version"))
        self.version += 1
        for w in writes:
            row = Row(w.table, w.key, self.version, w.value or {}, w.value is None)
            self.rows[w.table, w.key] = row
        return Success(self.version)
