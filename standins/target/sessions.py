"""Data connections of a target: transactions, slots and the single writer."""

import re
import sqlite3
from collections import deque
from collections.abc import Sequence

import attrs
import gevent
from gevent import socket
from gevent.event import Event

from siskindale.models.group import LogPosition, Role
from siskindale.models.wire import Scalar, StatementResult
from siskindale.targets.http import BatchBody
from siskindale.targets.interface import Begin, Commit, Rollback, Statement, Step, TargetFailure
from standins.server import cancelled_by_close
from standins.target.storage import EntryBody, Storage, open_database, reserved_name

_COMMENTS = re.compile(r"(?:\s+|/\*.*?\*/|--[^\n]*\n)*", re.DOTALL)
_COST = re.compile(r"\s*/\*\s*cost_ms=(\d+(?:\.\d+)?)\s*\*/")
_READING = {"SELECT", "VALUES", "EXPLAIN"}
_REFUSED = {
    *("BEGIN", "COMMIT", "END", "ROLLBACK", "SAVEPOINT", "RELEASE"),
    *("ATTACH", "DETACH", "PRAGMA", "VACUUM", "REINDEX", "ANALYZE"),
}
_WRITING_WORDS = re.compile(r"\b(INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
_SQL_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


class RefusedError(Exception):
    """A step that failed; the transaction is rolled back."""

    def __init__(self, kind: TargetFailure, detail: str, step: int | None = None) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.step = step


class Slots:
    """Limited number of holders; others wait in order of arrival."""

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._waiting: deque[Event] = deque()

    def acquire(self, sock: socket.socket) -> None:
        """Takes a slot; gives up when the client closes the connection."""
        if self._free and not self._waiting:
            self._free -= 1
            return
        ticket = Event()
        self._waiting.append(ticket)
        try:
            with cancelled_by_close(sock):
                ticket.wait()
        except BaseException:
            if ticket.is_set():
                self.release()
            else:
                self._waiting.remove(ticket)
            raise

    def release(self) -> None:
        """Hands the slot to the next in order."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._free += 1


@attrs.define
class Engine:
    """What the data connections of a target share."""

    storage: Storage
    slots: Slots
    writer: Slots = attrs.field(factory=lambda: Slots(1))
    open_writer: "Session | None" = None

    def abort_writer(self) -> None:
        """Rolls back the open write transaction, because the target stops being primary."""
        if self.open_writer is not None:
            self.open_writer.abort()


@attrs.frozen
class _Seen:
    """Place of a read's snapshot, and what the target was at that moment."""

    term: int
    at: LogPosition
    role: Role
    matched: bool


def keyword(sql: str) -> str:
    """Returns the first word of a statement in capitals, behind comments."""
    start = _COMMENTS.match(sql)
    word = re.match(r"\w*", sql[start.end() if start else 0 :])
    return word.group().upper() if word else ""


def is_write(sql: str) -> bool:
    """Whether a statement may change data."""
    word = keyword(sql)
    if word == "WITH":
        return _WRITING_WORDS.search(sql) is not None
    return word not in _READING


class Session:
    """State of one data connection."""

    def __init__(self, engine: Engine, sock: socket.socket) -> None:
        self._engine = engine
        self._storage = engine.storage
        self._socket = sock
        self._database = open_database(engine.storage.path)
        self._mode: str | None = None
        self._read_only: bool | None = None
        self._aborted = False
        self._seen: _Seen | None = None
        self._writes: list[tuple[str, tuple[Scalar, ...]]] = []

    def run(self, batch_id: int, steps: Sequence[Step]) -> BatchBody:
        """Runs a batch; raises `RefusedError` with the index of the step that failed."""
        self._check_shape(steps)
        implicit = self._mode is None and not isinstance(steps[0], Begin | Commit | Rollback)
        results: list[StatementResult | None] = []
        index: int | None = 0
        try:
            if implicit:
                self._check_open()
                writes = any(isinstance(s, Statement) and is_write(s.sql) for s in steps)
                self._begin("write" if writes else "read")
            for index, step in enumerate(steps):  # noqa: B007
                results.append(self._step(step))
            if implicit:
                index = None
                self._commit()
        except RefusedError as error:
            self.rollback()
            raise RefusedError(error.kind, error.detail, index) from error
        seen = self._seen or self._look()
        return BatchBody(batch_id, tuple(results), seen.term, seen.at, seen.role, seen.matched)

    def rollback(self) -> None:
        """Ends the open transaction without effect."""
        mode, self._mode = self._mode, None
        self._writes = []
        self._seen = None
        if self._database.in_transaction:
            self._database.execute("ROLLBACK")
        if mode == "write":
            self._release_writer()

    def abort(self) -> None:
        """Rolls back on behalf of the target; the next batch is refused."""
        self.rollback()
        self._aborted = True

    def close(self) -> None:
        """Rolls back and frees everything."""
        self.rollback()
        self._database.close()

    def _check_shape(self, steps: Sequence[Step]) -> None:
        if not steps:
            raise RefusedError(TargetFailure.STATEMENT, "empty batch")
        ends = [i for i, step in enumerate(steps) if isinstance(step, Commit | Rollback)]
        if ends and ends[0] != len(steps) - 1:
            raise RefusedError(TargetFailure.STATEMENT, "steps after the end of a transaction")
        if any(isinstance(step, Begin) for step in steps[1:]):
            raise RefusedError(TargetFailure.STATEMENT, "a transaction begins within a batch")

    def _step(self, step: Step) -> StatementResult | None:
        match step:
            case Begin(mode):
                self._aborted = False
                self._begin(mode)
                return None
            case Statement(sql, params):
                return self._statement(sql, params)
            case Commit():
                self._check_open()
                self._commit()
                return None
            case Rollback():
                self._aborted = False
                self.rollback()
                return None

    def _begin(self, mode: str) -> None:
        if self._mode is not None:
            raise RefusedError(TargetFailure.STATEMENT, "a transaction is open already")
        if mode not in ("read", "write"):
            raise RefusedError(TargetFailure.STATEMENT, f"unknown mode {mode!r}")
        self._seen = None
        self._writes = []
        if mode == "write":
            self._take_writer()
        self._set_read_only(mode == "read")
        self._database.execute("BEGIN IMMEDIATE" if mode == "write" else "BEGIN")
        self._mode = mode

    def _take_writer(self) -> None:
        self._check_primary()
        self._engine.writer.acquire(self._socket)
        try:
            self._check_primary()
        except RefusedError:
            self._engine.writer.release()
            raise
        self._engine.open_writer = self

    def _release_writer(self) -> None:
        if self._engine.open_writer is self:
            self._engine.open_writer = None
            self._engine.writer.release()

    def _check_primary(self) -> None:
        role = self._storage.state.role
        if role is not Role.PRIMARY:
            raise RefusedError(TargetFailure.ROLE, f"writes need a primary, this is a {role}")

    def _check_open(self) -> None:
        if self._aborted:
            self._aborted = False
            raise RefusedError(TargetFailure.ROLE, "the transaction was rolled back by the target")

    def _set_read_only(self, read_only: bool) -> None:
        if read_only is not self._read_only:
            self._database.execute(f"PRAGMA query_only={'ON' if read_only else 'OFF'}")
            self._read_only = read_only

    def _statement(self, sql: str, params: tuple[Scalar, ...]) -> StatementResult:
        self._check_open()
        if keyword(sql) in _REFUSED or reserved_name(sql):
            raise RefusedError(TargetFailure.STATEMENT, "this statement is not allowed")
        self._engine.slots.acquire(self._socket)
        try:
            self._pin()
            self._hold(sql)
            self._check_open()
            return self._execute(sql, params)
        finally:
            self._engine.slots.release()

    def _hold(self, sql: str) -> None:
        """Keeps the slot for the time that a `cost_ms` comment asks for."""
        cost = _COST.match(sql)
        if cost is not None:
            with cancelled_by_close(self._socket):
                gevent.sleep(float(cost.group(1)) / 1000)

    def _execute(self, sql: str, params: tuple[Scalar, ...]) -> StatementResult:
        try:
            cursor = self._database.execute(sql, params)
            rows = tuple(tuple(row) for row in cursor.fetchall())
        except sqlite3.IntegrityError as error:
            raise RefusedError(TargetFailure.CONSTRAINT, str(error)) from error
        except _SQL_ERRORS as error:
            raise RefusedError(TargetFailure.STATEMENT, str(error)) from error
        if self._mode == "write" and is_write(sql):
            self._writes.append((sql, params))
        columns = tuple(column[0] for column in cursor.description or ())
        return StatementResult(columns, rows, len(rows) if columns else max(cursor.rowcount, 0))

    def _pin(self) -> None:
        """Takes the snapshot of a transaction together with its place in the log."""
        if self._seen is None:
            self._check_open()
            self._database.execute("SELECT position FROM target_applied").fetchone()
            self._seen = self._look()

    def _look(self) -> _Seen:
        storage = self._storage
        state = storage.state
        return _Seen(state.term, storage.at(storage.applied), state.role, storage.matched)

    def _commit(self) -> None:
        if self._mode is None:
            raise RefusedError(TargetFailure.STATEMENT, "no transaction is open")
        try:
            if self._writes:
                body = EntryBody(tuple(self._writes))
                at = self._storage.commit_entry(self._database, body)
                self._seen = attrs.evolve(self._look(), at=at)
            else:
                self._database.execute("COMMIT")
                self._seen = self._seen or self._look()
        except sqlite3.IntegrityError as error:
            raise RefusedError(TargetFailure.CONSTRAINT, str(error)) from error
        mode, self._mode = self._mode, None
        self._writes = []
        if mode == "write":
            self._release_writer()
