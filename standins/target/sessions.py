"""Data connections of a target: transactions, execution slots and the writer lock."""

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
from standins.server import cancel_on_close
from standins.target.storage import EntryBody, Storage, open_database, uses_reserved_name

_LEADING_COMMENTS = re.compile(r"(?:\s+|/\*.*?\*/|--[^\n]*\n)*", re.DOTALL)
_COST_COMMENT = re.compile(r"\s*/\*\s*cost_ms=(\d+(?:\.\d+)?)\s*\*/")
_READ_KEYWORDS = {"SELECT", "VALUES", "EXPLAIN"}
_REFUSED_KEYWORDS = {
    *("BEGIN", "COMMIT", "END", "ROLLBACK", "SAVEPOINT", "RELEASE"),
    *("ATTACH", "DETACH", "PRAGMA", "VACUUM", "REINDEX", "ANALYZE"),
}
_WRITE_KEYWORDS = re.compile(r"\b(INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
_SQL_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


class BatchRefusedError(Exception):
    """A step failed or the batch is invalid; the transaction is rolled back."""

    def __init__(self, kind: TargetFailure, detail: str, step: int | None = None) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.step = step


class FifoSemaphore:
    """Semaphore whose waiters are served in order of arrival."""

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._waiting: deque[Event] = deque()

    def acquire(self, sock: socket.socket) -> None:
        """Acquires the semaphore; stops waiting when the client of `sock` disconnects."""
        if self._free and not self._waiting:
            self._free -= 1
            return
        granted = Event()
        self._waiting.append(granted)
        try:
            with cancel_on_close(sock):
                granted.wait()
        except BaseException:
            if granted.is_set():
                self.release()
            else:
                self._waiting.remove(granted)
            raise

    def release(self) -> None:
        """Releases the semaphore and wakes the next waiter."""
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._free += 1


@attrs.define
class TargetResources:
    """Storage, slots and writer lock that all data connections of a target share."""

    storage: Storage
    slots: FifoSemaphore
    writer_lock: FifoSemaphore = attrs.field(factory=lambda: FifoSemaphore(1))
    writing_session: "Session | None" = None

    def abort_writer(self) -> None:
        """Rolls back the open write transaction when the target stops being primary."""
        if self.writing_session is not None:
            self.writing_session.abort()


@attrs.frozen
class _Snapshot:
    """Log position of a transaction's snapshot or commit, and the target's state at that time."""

    term: int
    at: LogPosition
    role: Role
    matched: bool


def first_keyword(sql: str) -> str:
    """Returns the first word of a statement in upper case, skipping leading comments."""
    start = _LEADING_COMMENTS.match(sql)
    word = re.match(r"\w*", sql[start.end() if start else 0 :])
    return word.group().upper() if word else ""


def is_write(sql: str) -> bool:
    """Returns whether a statement may change data."""
    word = first_keyword(sql)
    if word == "WITH":
        return _WRITE_KEYWORDS.search(sql) is not None
    return word not in _READ_KEYWORDS


class Session:
    """State of one data connection."""

    def __init__(self, resources: TargetResources, sock: socket.socket) -> None:
        self._resources = resources
        self._storage = resources.storage
        self._socket = sock
        self._database = open_database(resources.storage.path)
        self._mode: str | None = None
        self._read_only: bool | None = None
        self._aborted = False
        self._snapshot: _Snapshot | None = None
        self._writes: list[tuple[str, tuple[Scalar, ...]]] = []

    def run_batch(self, batch_id: int, steps: Sequence[Step]) -> BatchBody:
        """Runs a batch; raises `RefusedError` with the index of the step that failed."""
        self._check_step_order(steps)
        implicit = self._mode is None and not isinstance(steps[0], Begin | Commit | Rollback)
        results: list[StatementResult | None] = []
        index: int | None = 0
        try:
            if implicit:
                self._check_not_aborted()
                writes = any(isinstance(s, Statement) and is_write(s.sql) for s in steps)
                self._begin("write" if writes else "read")
            for index, step in enumerate(steps):  # noqa: B007
                results.append(self._run_step(step))
            if implicit:
                index = None
                self._commit()
        except BatchRefusedError as error:
            self.rollback()
            raise BatchRefusedError(error.kind, error.detail, index) from error
        snapshot = self._snapshot or self._current_snapshot()
        return BatchBody(
            batch_id, tuple(results), snapshot.term, snapshot.at, snapshot.role, snapshot.matched
        )

    def rollback(self) -> None:
        """Rolls back the open transaction, if any."""
        mode, self._mode = self._mode, None
        self._writes = []
        self._snapshot = None
        if self._database.in_transaction:
            self._database.execute("ROLLBACK")
        if mode == "write":
            self._release_writer_lock()

    def abort(self) -> None:
        """Rolls back on behalf of the target; a batch that continues the transaction is refused."""
        self.rollback()
        self._aborted = True

    def close(self) -> None:
        """Rolls back and closes the SQLite connection."""
        self.rollback()
        self._database.close()

    def _check_step_order(self, steps: Sequence[Step]) -> None:
        if not steps:
            raise BatchRefusedError(TargetFailure.STATEMENT, "empty batch")
        ends = [i for i, step in enumerate(steps) if isinstance(step, Commit | Rollback)]
        if ends and ends[0] != len(steps) - 1:
            raise BatchRefusedError(TargetFailure.STATEMENT, "steps after the end of a transaction")
        if any(isinstance(step, Begin) for step in steps[1:]):
            raise BatchRefusedError(TargetFailure.STATEMENT, "a transaction begins within a batch")

    def _run_step(self, step: Step) -> StatementResult | None:
        match step:
            case Begin(mode):
                self._aborted = False
                self._begin(mode)
                return None
            case Statement(sql, params):
                return self._run_statement(sql, params)
            case Commit():
                self._check_not_aborted()
                self._commit()
                return None
            case Rollback():
                self._aborted = False
                self.rollback()
                return None

    def _begin(self, mode: str) -> None:
        if self._mode is not None:
            raise BatchRefusedError(TargetFailure.STATEMENT, "a transaction is open already")
        if mode not in ("read", "write"):
            raise BatchRefusedError(TargetFailure.STATEMENT, f"unknown mode {mode!r}")
        self._snapshot = None
        self._writes = []
        if mode == "write":
            self._acquire_writer_lock()
        self._set_read_only(mode == "read")
        self._database.execute("BEGIN IMMEDIATE" if mode == "write" else "BEGIN")
        self._mode = mode

    def _acquire_writer_lock(self) -> None:
        self._check_primary()
        self._resources.writer_lock.acquire(self._socket)
        try:
            self._check_primary()
        except BatchRefusedError:
            self._resources.writer_lock.release()
            raise
        self._resources.writing_session = self

    def _release_writer_lock(self) -> None:
        if self._resources.writing_session is self:
            self._resources.writing_session = None
            self._resources.writer_lock.release()

    def _check_primary(self) -> None:
        role = self._storage.state.role
        if role is not Role.PRIMARY:
            raise BatchRefusedError(TargetFailure.ROLE, f"writes need a primary, this is a {role}")

    def _check_not_aborted(self) -> None:
        if self._aborted:
            self._aborted = False
            raise BatchRefusedError(
                TargetFailure.ROLE, "the transaction was rolled back by the target"
            )

    def _set_read_only(self, read_only: bool) -> None:
        if read_only is not self._read_only:
            self._database.execute(f"PRAGMA query_only={'ON' if read_only else 'OFF'}")
            self._read_only = read_only

    def _run_statement(self, sql: str, params: tuple[Scalar, ...]) -> StatementResult:
        self._check_not_aborted()
        if first_keyword(sql) in _REFUSED_KEYWORDS or uses_reserved_name(sql):
            raise BatchRefusedError(TargetFailure.STATEMENT, "this statement is not allowed")
        self._resources.slots.acquire(self._socket)
        try:
            self._take_snapshot()
            self._simulate_cost(sql)
            self._check_not_aborted()
            return self._execute(sql, params)
        finally:
            self._resources.slots.release()

    def _simulate_cost(self, sql: str) -> None:
        """Holds the slot for the duration given in a `cost_ms` comment."""
        cost = _COST_COMMENT.match(sql)
        if cost is not None:
            with cancel_on_close(self._socket):
                gevent.sleep(float(cost.group(1)) / 1000)

    def _execute(self, sql: str, params: tuple[Scalar, ...]) -> StatementResult:
        try:
            cursor = self._database.execute(sql, params)
            rows = tuple(tuple(row) for row in cursor.fetchall())
        except sqlite3.IntegrityError as error:
            raise BatchRefusedError(TargetFailure.CONSTRAINT, str(error)) from error
        except _SQL_ERRORS as error:
            raise BatchRefusedError(TargetFailure.STATEMENT, str(error)) from error
        if self._mode == "write" and is_write(sql):
            self._writes.append((sql, params))
        columns = tuple(column[0] for column in cursor.description or ())
        return StatementResult(columns, rows, len(rows) if columns else max(cursor.rowcount, 0))

    def _take_snapshot(self) -> None:
        """Takes the SQLite snapshot of a transaction and records its log position."""
        if self._snapshot is None:
            self._check_not_aborted()
            self._database.execute("SELECT position FROM target_applied").fetchone()
            self._snapshot = self._current_snapshot()

    def _current_snapshot(self) -> _Snapshot:
        storage = self._storage
        state = storage.state
        return _Snapshot(
            state.term, storage.log_position(storage.applied_position), state.role, storage.matched
        )

    def _commit(self) -> None:
        if self._mode is None:
            raise BatchRefusedError(TargetFailure.STATEMENT, "no transaction is open")
        try:
            if self._writes:
                body = EntryBody(tuple(self._writes))
                at = self._storage.commit_entry(self._database, body)
                self._snapshot = attrs.evolve(self._current_snapshot(), at=at)
            else:
                self._database.execute("COMMIT")
                self._snapshot = self._snapshot or self._current_snapshot()
        except sqlite3.IntegrityError as error:
            raise BatchRefusedError(TargetFailure.CONSTRAINT, str(error)) from error
        mode, self._mode = self._mode, None
        self._writes = []
        if mode == "write":
            self._release_writer_lock()
