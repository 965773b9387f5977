"""In-memory table service, object store and live list."""

import uuid
from collections.abc import Sequence

import attrs

from siskindale.store.interface import Condition, LiveView, Row, Write


class Tables:
    """Table rows with a global version; a commit assigns one new version to all its rows."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the latest commit."""
        return self._version

    def copy(self) -> "Tables":
        """Returns a copy of the current state, for `restore`."""
        copied = Tables()
        copied.restore(self)
        return copied

    def restore(self, backup: "Tables") -> None:
        """Replaces the state by an older one; later versions are given out again."""
        self._rows = dict(backup._rows)
        self._version = backup._version

    def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it is absent or deleted."""
        row = self._rows.get((table, key))
        return None if row is None or row.deleted else row

    def scan(self, table: str, after_version: int) -> list[Row]:
        """Returns rows changed after a version, including deleted ones, ordered by version."""
        rows = (row for row in self._rows.values() if row.table == table)
        return sorted(
            (row for row in rows if row.version > after_version), key=lambda row: row.version
        )

    def commit(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int | Condition:
        """Returns the new version, or the first condition that does not hold."""
        for condition in conditions:
            row = self.read(condition.table, condition.key)
            if (row.version if row else 0) != condition.version:
                return condition
        self._version += 1
        for write in writes:
            self._rows[write.table, write.key] = Row(
                write.table, write.key, self._version, write.value or {}, write.value is None
            )
        return self._version


@attrs.define
class PlatformState:
    """State of all platform services."""

    tables: Tables = attrs.field(factory=Tables)
    backup: Tables = attrs.field(factory=Tables)
    era: int = 1
    objects: dict[str, bytes] = attrs.field(factory=dict)
    live: LiveView = LiveView(frozenset(), frozenset())
    live_revision: str = attrs.field(factory=lambda: uuid.uuid4().hex)

    def back_up(self) -> None:
        """Keeps a copy of the tables for `restore`."""
        self.backup = self.tables.copy()

    def restore(self) -> None:
        """Replaces the tables by the kept copy, which begins a new era."""
        self.tables.restore(self.backup)
        self.era += 1

    def set_live(self, live: LiveView) -> None:
        """Replaces the live list under a new revision that is unique across restarts."""
        self.live, self.live_revision = live, uuid.uuid4().hex
