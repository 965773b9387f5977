"""Durable state of a target: one SQLite file with the user tables, the log and the term.

Tables and log are written in one transaction of one file, so that they match after the process
was killed. SQLite does not sync to disk, because the page cache survives a killed process.
"""

import re
import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec
from gevent.event import Event

from siskindale.models.address import Address
from siskindale.models.group import LogPosition, Role, TargetStatus

_ENCODER = msgspec.json.Encoder()
_SCHEMA = """
CREATE TABLE IF NOT EXISTS target_log (position INTEGER PRIMARY KEY, term INTEGER, body BLOB);
CREATE TABLE IF NOT EXISTS target_state (id INTEGER PRIMARY KEY, state BLOB);
CREATE TABLE IF NOT EXISTS target_applied (id INTEGER PRIMARY KEY, position INTEGER);
INSERT OR IGNORE INTO target_applied VALUES (0, 0);
"""
_RESERVED_NAME = re.compile(r"\Wtarget_(log|state|applied)\b", re.IGNORECASE)


@attrs.frozen
class Marker:
    """First entry of a term, with the voters of that term and of the previous marker."""

    voters: tuple[str, ...]
    previous_voters: tuple[str, ...]


@attrs.frozen
class EntryBody:
    """Content of a log entry: the write statements of a transaction, or a marker."""

    statements: tuple[tuple[str, tuple[Any, ...]], ...] = ()
    marker: Marker | None = None


@attrs.frozen
class Entry:
    """Log entry as it is shipped to replicas."""

    position: int
    term: int
    body: EntryBody


@attrs.frozen
class State:
    """Term and role; a replica follows `primary` at the control address `primary_control`."""

    term: int = 0
    role: Role = Role.FENCED
    primary: str | None = None
    primary_control: Address | None = None


_STATE_DECODER = msgspec.json.Decoder(State)
_BODY_DECODER = msgspec.json.Decoder(EntryBody)


class ChangeSignal:
    """Wakes all greenlets that wait for a change of the log or state."""

    def __init__(self) -> None:
        self._event = Event()

    def wait(self, timeout_s: float) -> None:
        """Blocks until the next change, at most `timeout_s` seconds."""
        self._event.wait(timeout_s)

    def wake_all(self) -> None:
        """Wakes the waiting greenlets."""
        self._event.set()
        self._event = Event()


def open_database(path: Path) -> sqlite3.Connection:
    """Opens a connection to the target's SQLite file."""
    connection = sqlite3.connect(path, isolation_level=None, timeout=0, check_same_thread=False)
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=OFF")
    return connection


def uses_reserved_name(sql: str) -> bool:
    """Returns whether a statement names an internal table of the target."""
    return _RESERVED_NAME.search(f" {sql}") is not None


class Storage:
    """Log, tables and state of one target.

    No method switches greenlets, so each method is atomic with respect to other greenlets.
    """

    def __init__(self, name: str, path: Path) -> None:
        self.name = name
        self.path = path
        self.change_signal = ChangeSignal()
        self.state = State()
        self.matched = False
        self.generation = 0
        self.primary_heard_at: float | None = None
        self._database = open_database(path)
        self._database.executescript(_SCHEMA)
        self._terms: list[int] = []
        self._received_times: list[float] = []
        self._markers: list[tuple[int, Marker]] = []
        self.applied_position = 0
        self._load()

    @property
    def is_empty(self) -> bool:
        """Whether the target has neither log entries nor a term."""
        return not self._terms and self.state.term == 0

    @property
    def last_position(self) -> LogPosition:
        """Term and position of the last entry of the log."""
        return self.log_position(len(self._terms))

    def log_position(self, position: int) -> LogPosition:
        """Returns the term and position of an entry; position 0 is before the first entry."""
        return LogPosition(self._terms[position - 1], position) if position else LogPosition()

    def received_at(self, position: int) -> float:
        """Returns the monotonic time at which an entry was appended; 0 if loaded at startup."""
        return self._received_times[position - 1]

    def term_runs(self) -> list[tuple[int, int]]:
        """Returns (first position, term) of each run of entries of the same term."""
        return [
            (index + 1, term)
            for index, term in enumerate(self._terms)
            if index == 0 or self._terms[index - 1] != term
        ]

    def last_matching_position(self, runs: list[tuple[int, int]], last: int) -> int:
        """Returns the last position up to which this log equals a log with these term runs.

        Entries with the same term and position are equal, because a term has only one primary.
        """
        ends = [*(first - 1 for first, _ in runs[1:]), last][: len(runs)]
        matched = 0
        for (first, term), end in zip(runs, ends, strict=True):
            upper = min(end, len(self._terms))
            if first > upper or self._terms[first - 1] != term:
                break
            while matched < upper and self._terms[matched] == term:
                matched += 1
            if matched < end:
                break
        return matched

    def status(self) -> TargetStatus:
        """Returns the status that the target reports."""
        position, marker = self._markers[-1] if self._markers else (0, Marker((), ()))
        follows = self.state.role is Role.REPLICA and self.primary_heard_at is not None
        return TargetStatus(
            name=self.name,
            term=self.state.term,
            role=self.state.role,
            log=self.last_position,
            applied_position=self.applied_position,
            matched=self.matched,
            voters=marker.voters,
            previous_voters=marker.previous_voters,
            marker=self.log_position(position),
            primary=self.name if self.state.role is Role.PRIMARY else self.state.primary,
            primary_heard_ms=(
                (time.monotonic() - (self.primary_heard_at or 0)) * 1000 if follows else None
            ),
        )

    def store_state(self, state: State) -> None:
        """Stores a new term and role; a replica must match its log with the primary's again."""
        self._database.execute(
            "INSERT OR REPLACE INTO target_state VALUES (0, ?)", [_ENCODER.encode(state)]
        )
        self.state = state
        self.matched = state.role is Role.PRIMARY
        self.generation += 1
        self.primary_heard_at = time.monotonic() if state.role is Role.REPLICA else None
        self.change_signal.wake_all()

    def set_matched(self, matched: bool) -> None:
        """Records whether the log matches that of the current term's primary."""
        self.matched = matched
        self.change_signal.wake_all()

    def store_state_with_marker(self, state: State, voters: tuple[str, ...]) -> None:
        """Appends the marker of a term and stores the state in one transaction.

        With two transactions, a crash between them followed by a second promotion would write a
        second marker, whose previous voters would no longer be those of the previous term.
        """
        term = state.term
        previous = self._markers[-1][1].voters if self._markers else voters
        position = len(self._terms) + 1
        body = EntryBody(marker=Marker(voters, previous))
        self._database.execute("BEGIN IMMEDIATE")
        self.insert_entry(self._database, position, term, body)
        self._set_applied_position(self._database, position)
        self.store_state(state)
        self._database.execute("COMMIT")
        self._index_entry(position, term, body)
        self.applied_position = position
        self.change_signal.wake_all()

    def insert_entry(
        self, database: sqlite3.Connection, position: int, term: int, body: EntryBody
    ) -> None:
        """Inserts an entry in the open transaction of `database`."""
        database.execute(
            "INSERT INTO target_log VALUES (?, ?, ?)", [position, term, _ENCODER.encode(body)]
        )

    def commit_entry(self, database: sqlite3.Connection, body: EntryBody) -> LogPosition:
        """Commits the open transaction of `database` together with its log entry."""
        position, term = len(self._terms) + 1, self.state.term
        self.insert_entry(database, position, term, body)
        self._set_applied_position(database, position)
        database.execute("COMMIT")
        self._index_entry(position, term, body)
        self.applied_position = position
        self.change_signal.wake_all()
        return LogPosition(term, position)

    def entries_after(self, after: int, limit: int, not_after: float) -> list[Entry]:
        """Returns up to `limit` entries after a position that were appended by `not_after`."""
        upper = after
        while (
            upper < min(len(self._terms), after + limit)
            and self._received_times[upper] <= not_after
        ):
            upper += 1
        rows = self._database.execute(
            "SELECT position, term, body FROM target_log WHERE position > ? AND position <= ?"
            " ORDER BY position",
            [after, upper],
        )
        return [Entry(position, term, _BODY_DECODER.decode(body)) for position, term, body in rows]

    def append_received(self, entries: list[Entry]) -> None:
        """Appends entries from the primary; they are durable but not yet applied."""
        if not entries:
            return
        if entries[0].position != len(self._terms) + 1:
            raise ValueError(f"entry {entries[0].position} does not follow {len(self._terms)}")
        self._database.execute("BEGIN IMMEDIATE")
        for entry in entries:
            self.insert_entry(self._database, entry.position, entry.term, entry.body)
        self._database.execute("COMMIT")
        for entry in entries:
            self._index_entry(entry.position, entry.term, entry.body)
        self.change_signal.wake_all()

    def apply(self, upto: int) -> None:
        """Applies received entries up to a position."""
        if upto <= self.applied_position:
            return
        self._database.execute("BEGIN IMMEDIATE")
        self._replay(self.applied_position, upto)
        self._database.execute("COMMIT")
        self.applied_position = upto
        self.change_signal.wake_all()

    def truncate(self, last: int) -> None:
        """Removes entries after `last`; rebuilds the tables if a removed entry was applied."""
        if last >= len(self._terms):
            return
        self._database.execute("BEGIN IMMEDIATE")
        self._database.execute("DELETE FROM target_log WHERE position > ?", [last])
        if self.applied_position > last:
            self._drop_tables()
            self._replay(0, last)
        self._database.execute("COMMIT")
        self.applied_position = min(self.applied_position, last)
        del self._terms[last:], self._received_times[last:]
        self._markers = [(position, m) for position, m in self._markers if position <= last]
        self.change_signal.wake_all()

    def _replay(self, after: int, upto: int) -> None:
        for statement, params in self._logged_statements(after, upto):
            self._database.execute(statement, params)
        self._set_applied_position(self._database, upto)

    def _logged_statements(self, after: int, upto: int) -> Iterator[tuple[str, tuple[Any, ...]]]:
        rows = self._database.execute(
            "SELECT body FROM target_log WHERE position > ? AND position <= ? ORDER BY position",
            [after, upto],
        ).fetchall()
        for (body,) in rows:
            yield from _BODY_DECODER.decode(body).statements

    def _drop_tables(self) -> None:
        rows = self._database.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view')"
            " AND name NOT LIKE 'target^_%' ESCAPE '^' AND name NOT LIKE 'sqlite^_%' ESCAPE '^'"
        ).fetchall()
        for kind, name in sorted(rows, reverse=True):
            quoted = name.replace('"', '""')
            self._database.execute(f'DROP {kind} IF EXISTS "{quoted}"')

    def _set_applied_position(self, database: sqlite3.Connection, position: int) -> None:
        database.execute("UPDATE target_applied SET position = ?", [position])

    def _index_entry(self, position: int, term: int, body: EntryBody, received: float = -1) -> None:
        self._terms.append(term)
        self._received_times.append(time.monotonic() if received < 0 else received)
        if body.marker is not None:
            self._markers.append((position, body.marker))

    def _load(self) -> None:
        for (state,) in self._database.execute("SELECT state FROM target_state"):
            self.state = _STATE_DECODER.decode(state)
        (self.applied_position,) = self._database.execute(
            "SELECT position FROM target_applied"
        ).fetchone()
        rows = self._database.execute("SELECT position, term, body FROM target_log ORDER BY 1")
        for position, term, body in rows:
            self._index_entry(position, term, _BODY_DECODER.decode(body), 0.0)
        self.matched = self.state.role is Role.PRIMARY
        self.primary_heard_at = time.monotonic() if self.state.role is Role.REPLICA else None
