"""Durable state of a target: one SQLite file with the users' tables, the log and the term.

Everything is in one file and one transaction, so that a killed process restarts with a log that
fits its tables. SQLite does not wait for the disk: the file cache survives a killed process.
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
_INVALID_NAME = re.compile(r"\Wtarget_(log|state|applied)\b", re.IGNORECASE)


@attrs.frozen
class Marker:
    """First entry of a term: the voters of that term and of the marker before it."""

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
    """Term and role; `primary` and `primary_control` name what a replica follows."""

    term: int = 0
    role: Role = Role.FENCED
    primary: str | None = None
    primary_control: Address | None = None


_STATES = msgspec.json.Decoder(State)
_BODIES = msgspec.json.Decoder(EntryBody)


class Changed:
    """Wakes all greenlets that wait for any change of the log or state."""

    def __init__(self) -> None:
        self._event = Event()

    def wait(self, timeout_s: float) -> None:
        """Blocks until the next change, at most `timeout_s` seconds."""
        self._event.wait(timeout_s)

    def notify(self) -> None:
        """Wakes the waiting greenlets."""
        self._event.set()
        self._event = Event()


def open_database(path: Path) -> sqlite3.Connection:
    """Opens a connection to the target's file."""
    connection = sqlite3.connect(path, isolation_level=None, timeout=0, check_same_thread=False)
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=OFF")
    return connection


def reserved_name(sql: str) -> bool:
    """Whether a statement names one of the target's own tables."""
    return _INVALID_NAME.search(f" {sql}") is not None


class Storage:
    """Log, tables and state of one target.

    Methods never switch greenlets, so each of them is atomic for the other greenlets.
    """

    def __init__(self, name: str, path: Path) -> None:
        self.name = name
        self.path = path
        self.changed = Changed()
        self.state = State()
        self.matched = False
        self.generation = 0
        self.heard_at: float | None = None
        self._database = open_database(path)
        self._database.executescript(_SCHEMA)
        self._terms: list[int] = []
        self._times: list[float] = []
        self._markers: list[tuple[int, Marker]] = []
        self.applied = 0
        self._load()

    @property
    def empty(self) -> bool:
        """Whether the target holds no entry and no state."""
        return not self._terms and self.state.term == 0

    @property
    def last(self) -> LogPosition:
        """Term and position of the last entry of the log."""
        return self.at(len(self._terms))

    def at(self, position: int) -> LogPosition:
        """Returns the term and position of an entry; zeros before the first one."""
        return LogPosition(self._terms[position - 1], position) if position else LogPosition()

    def received_at(self, position: int) -> float:
        """Returns the monotonic time when the entry came into the log; 0 before this start."""
        return self._times[position - 1]

    def term_runs(self) -> list[tuple[int, int]]:
        """Returns (first position, term) of each stretch of entries of one term."""
        return [
            (index + 1, term)
            for index, term in enumerate(self._terms)
            if index == 0 or self._terms[index - 1] != term
        ]

    def match(self, runs: list[tuple[int, int]], last: int) -> int:
        """Returns the last position up to which a log with these term runs equals this one.

        Entries of equal term and position are equal, as a term has one primary.
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
        """Returns the status that the target reports of itself."""
        position, marker = self._markers[-1] if self._markers else (0, Marker((), ()))
        follows = self.state.role is Role.REPLICA and self.heard_at is not None
        return TargetStatus(
            name=self.name,
            term=self.state.term,
            role=self.state.role,
            log=self.last,
            applied_position=self.applied,
            matched=self.matched,
            voters=marker.voters,
            previous_voters=marker.previous_voters,
            marker=self.at(position),
            primary=self.name if self.state.role is Role.PRIMARY else self.state.primary,
            primary_heard_ms=(time.monotonic() - (self.heard_at or 0)) * 1000 if follows else None,
        )

    def enter(self, state: State) -> None:
        """Stores a new term and role; logs are matched anew after it."""
        self._database.execute(
            "INSERT OR REPLACE INTO target_state VALUES (0, ?)", [_ENCODER.encode(state)]
        )
        self.state = state
        self.matched = state.role is Role.PRIMARY
        self.generation += 1
        self.heard_at = time.monotonic() if state.role is Role.REPLICA else None
        self.changed.notify()

    def set_matched(self, matched: bool) -> None:
        """Records whether the log was matched with the primary of the present term."""
        self.matched = matched
        self.changed.notify()

    def enter_with_marker(self, state: State, voters: tuple[str, ...]) -> None:
        """Appends the first entry of a term and stores the state in one transaction.

        In two transactions, a crash between them and a second promotion would hide the previous
        voters behind a second marker.
        """
        term = state.term
        previous = self._markers[-1][1].voters if self._markers else voters
        position = len(self._terms) + 1
        body = EntryBody(marker=Marker(voters, previous))
        self._database.execute("BEGIN IMMEDIATE")
        self.insert(self._database, position, term, body)
        self._set_applied(self._database, position)
        self.enter(state)
        self._database.execute("COMMIT")
        self._remember(position, term, body)
        self.applied = position
        self.changed.notify()

    def insert(
        self, database: sqlite3.Connection, position: int, term: int, body: EntryBody
    ) -> None:
        """Inserts an entry in the open transaction of `database`."""
        database.execute(
            "INSERT INTO target_log VALUES (?, ?, ?)", [position, term, _ENCODER.encode(body)]
        )

    def commit_entry(self, database: sqlite3.Connection, body: EntryBody) -> LogPosition:
        """Commits the open transaction of `database` together with its log entry."""
        position, term = len(self._terms) + 1, self.state.term
        self.insert(database, position, term, body)
        self._set_applied(database, position)
        database.execute("COMMIT")
        self._remember(position, term, body)
        self.applied = position
        self.changed.notify()
        return LogPosition(term, position)

    def entries(self, after: int, limit: int, not_after: float) -> list[Entry]:
        """Returns entries behind a position that came into the log by `not_after`."""
        upper = after
        while upper < min(len(self._terms), after + limit) and self._times[upper] <= not_after:
            upper += 1
        rows = self._database.execute(
            "SELECT position, term, body FROM target_log WHERE position > ? AND position <= ?"
            " ORDER BY position",
            [after, upper],
        )
        return [Entry(position, term, _BODIES.decode(body)) for position, term, body in rows]

    def receive(self, entries: list[Entry]) -> None:
        """Adds entries from the primary behind the log; they are durable but not yet applied."""
        if not entries:
            return
        if entries[0].position != len(self._terms) + 1:
            raise ValueError(f"entry {entries[0].position} does not follow {len(self._terms)}")
        self._database.execute("BEGIN IMMEDIATE")
        for entry in entries:
            self.insert(self._database, entry.position, entry.term, entry.body)
        self._database.execute("COMMIT")
        for entry in entries:
            self._remember(entry.position, entry.term, entry.body)
        self.changed.notify()

    def apply(self, upto: int) -> None:
        """Applies received entries up to a position."""
        if upto <= self.applied:
            return
        self._database.execute("BEGIN IMMEDIATE")
        self._replay(self.applied, upto)
        self._database.execute("COMMIT")
        self.applied = upto
        self.changed.notify()

    def truncate(self, last: int) -> None:
        """Removes the entries behind `last`; rebuilds the tables if one of them was applied."""
        if last >= len(self._terms):
            return
        self._database.execute("BEGIN IMMEDIATE")
        self._database.execute("DELETE FROM target_log WHERE position > ?", [last])
        if self.applied > last:
            self._drop_tables()
            self._replay(0, last)
        self._database.execute("COMMIT")
        self.applied = min(self.applied, last)
        del self._terms[last:], self._times[last:]
        self._markers = [(position, m) for position, m in self._markers if position <= last]
        self.changed.notify()

    def _replay(self, after: int, upto: int) -> None:
        for statement, params in self._statements(after, upto):
            self._database.execute(statement, params)
        self._set_applied(self._database, upto)

    def _statements(self, after: int, upto: int) -> Iterator[tuple[str, tuple[Any, ...]]]:
        rows = self._database.execute(
            "SELECT body FROM target_log WHERE position > ? AND position <= ? ORDER BY position",
            [after, upto],
        ).fetchall()
        for (body,) in rows:
            yield from _BODIES.decode(body).statements

    def _drop_tables(self) -> None:
        rows = self._database.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view')"
            " AND name NOT LIKE 'target^_%' ESCAPE '^' AND name NOT LIKE 'sqlite^_%' ESCAPE '^'"
        ).fetchall()
        for kind, name in sorted(rows, reverse=True):
            quoted = name.replace('"', '""')
            self._database.execute(f'DROP {kind} IF EXISTS "{quoted}"')

    def _set_applied(self, database: sqlite3.Connection, position: int) -> None:
        database.execute("UPDATE target_applied SET position = ?", [position])

    def _remember(self, position: int, term: int, body: EntryBody, received: float = -1) -> None:
        self._terms.append(term)
        self._times.append(time.monotonic() if received < 0 else received)
        if body.marker is not None:
            self._markers.append((position, body.marker))

    def _load(self) -> None:
        for (state,) in self._database.execute("SELECT state FROM target_state"):
            self.state = _STATES.decode(state)
        (self.applied,) = self._database.execute("SELECT position FROM target_applied").fetchone()
        rows = self._database.execute("SELECT position, term, body FROM target_log ORDER BY 1")
        for position, term, body in rows:
            self._remember(position, term, _BODIES.decode(body), 0.0)
        self.matched = self.state.role is Role.PRIMARY
        self.heard_at = time.monotonic() if self.state.role is Role.REPLICA else None
