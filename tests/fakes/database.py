"""Fake data connections to the targets of a `FakeGroup`, with a minimal SQL subset.

`WRITE` appends its parameters, `READ` returns the first parameter of each write. All statements,
including those of keyed writes, run on tables that are rebuilt by replaying the log, because the
log is the only state of a target.
"""

import itertools
from collections.abc import Iterable, Sequence

import attrs
from returns.result import Failure, Result, Success

from siskindale.models.group import LogPosition, Role
from siskindale.models.wire import StatementResult
from siskindale.pool.systems import idempotency as keyed
from siskindale.targets.interface import (
    BatchResult,
    Begin,
    Commit,
    Statement,
    Step,
    TargetError,
    TargetFailure,
)
from tests.fakes.group import FakeGroup, FakeTarget

WRITE = "WRITE"
READ = "READ"
SCHEMA = (keyed.CREATE_REQUESTS, keyed.CREATE_INDEX, keyed.CREATE_WATERMARK)

ExecutedStatement = tuple[str, tuple]


@attrs.define
class ReplayedTables:
    """Tables that result from a sequence of statements."""

    written: list[tuple] = attrs.field(factory=list)
    keys: dict[tuple, list] | None = None
    watermark: int = 0

    def run(self, sql: str, params: tuple) -> StatementResult | TargetFailure:
        """Executes a statement."""
        if sql == READ:
            return StatementResult(
                ("id",), tuple((write_params[0],) for write_params in self.written)
            )
        if sql == WRITE:
            self.written.append(params)
            return StatementResult((), (), 1)
        if sql in SCHEMA:
            self.keys = {} if self.keys is None else self.keys
            return StatementResult()
        if self.keys is None:
            return TargetFailure.STATEMENT
        return self._run_keyed(self.keys, sql, params)

    def _run_keyed(
        self, keys: dict[tuple, list], sql: str, params: tuple
    ) -> StatementResult | TargetFailure:
        if sql == keyed.INSERT_KEY:
            if params[:2] in keys:
                return TargetFailure.CONSTRAINT
            if params[4] <= self.watermark:
                return StatementResult()
            keys[params[:2]] = [params[2], None, params[3]]
            return StatementResult((), (), 1)
        if sql == keyed.RECORD_RESULT:
            entry = keys.get(params[1:], [None, None])
            entry[1] = params[0]
            return StatementResult((), (), int(params[1:] in keys))
        if sql == keyed.LOOK_UP:
            entry = keys.get(params)
            return StatementResult(("digest", "result"), (tuple(entry[:2]),) if entry else ())
        if sql == keyed.ADVANCE_WATERMARK:
            self.watermark = max(self.watermark, params[0])
            return StatementResult()
        if sql == keyed.DELETE_PRUNED:
            for key in [key for key, row in keys.items() if row[2] <= params[0]]:
                del keys[key]
            return StatementResult()
        return TargetFailure.STATEMENT


def replay(statements: Iterable[ExecutedStatement]) -> ReplayedTables:
    """Returns the tables after executing the statements."""
    tables = ReplayedTables()
    for sql, params in statements:
        tables.run(sql, params)
    return tables


def logged_statements(target: FakeTarget, upto: int | None = None) -> list[ExecutedStatement]:
    """Returns the statements in a target's log, of the first `upto` entries if given."""
    entries = (e.payload for e in target.log[:upto] if isinstance(e.payload, tuple))
    return list(itertools.chain.from_iterable(entries))


@attrs.define(eq=False)
class FakeSession:
    """Server side of a data connection."""

    target: str
    mode: str | None = None
    statements: list[ExecutedStatement] = attrs.field(factory=list)
    snapshot: tuple[int, LogPosition, Role, bool] | None = None
    base_statements: list[ExecutedStatement] = attrs.field(factory=list)
    closed: bool = False
    aborted: bool = False


class FakeDatabase:
    """Runs batches on the targets of a group; each allows one write transaction at a time."""

    def __init__(self, group: FakeGroup) -> None:
        self.group = group
        self.writers: dict[str, FakeSession] = {}

    def close(self, session: FakeSession) -> None:
        """Closes a connection; its transaction is rolled back."""
        self.rollback(session)
        session.closed = True

    def rollback(self, session: FakeSession) -> None:
        """Rolls back a session's transaction, if any."""
        session.mode, session.statements, session.snapshot = None, [], None
        if self.writers.get(session.target) is session:
            del self.writers[session.target]

    def abort_writer(self, name: str) -> None:
        """Rolls back the write transaction of a target that was fenced or crashed."""
        if name in self.writers:
            self.writers[name].aborted = True
            self.rollback(self.writers[name])

    def is_blocked(self, session: FakeSession, steps: Sequence[Step]) -> bool:
        """Returns whether a batch must wait for another session's write transaction."""
        writes = any(isinstance(s, Statement) and s.sql == WRITE for s in steps)
        begins = steps[0] == Begin("write") or (session.mode is None and writes)
        current_writer = self.writers.get(session.target)
        return begins and current_writer is not None and current_writer is not session

    def run(self, session: FakeSession, steps: Sequence[Step]) -> Result[BatchResult, TargetError]:
        """Runs a batch, which must not be blocked by another write transaction."""
        results: list[StatementResult | None] = []
        aborted, session.aborted = session.aborted, False
        if aborted and not isinstance(steps[0], Begin):
            return Failure(TargetError(TargetFailure.ROLE, "rolled back by the target", 0))
        implicit = session.mode is None and isinstance(steps[0], Statement)
        if implicit:
            mode = "write" if any(getattr(s, "sql", "") == WRITE for s in steps) else "read"
            steps = [Begin(mode), *steps, Commit()]
        for index, step in enumerate(steps):
            outcome = self._run_step(session, step)
            if isinstance(outcome, TargetFailure):
                self.rollback(session)
                at = None if implicit and isinstance(step, Commit) else index - implicit
                return Failure(TargetError(outcome, "fake", at))
            results.append(outcome)
        if implicit:
            results = results[1:-1]
        assert session.snapshot is not None
        term, at_position, role, matched = session.snapshot
        return Success(BatchResult(tuple(results), term, at_position, role, matched))

    def _run_step(self, session: FakeSession, step: Step) -> StatementResult | TargetFailure | None:
        target = self.group.targets[session.target]
        if isinstance(step, Begin):
            return self._begin(session, target, step.mode)
        if session.mode is None:
            return TargetFailure.ROLE
        if isinstance(step, Statement):
            if session.mode == "read" and step.sql == WRITE:
                return TargetFailure.STATEMENT
            result = replay(session.base_statements + session.statements).run(step.sql, step.params)
            if isinstance(result, StatementResult) and step.sql not in (READ, keyed.LOOK_UP):
                session.statements.append((step.sql, step.params))
            return result
        if isinstance(step, Commit):
            return self._commit(session, target)
        self.rollback(session)
        session.snapshot = self._current_snapshot(target)
        return None

    def _begin(self, session: FakeSession, target: FakeTarget, mode: str) -> TargetFailure | None:
        if mode == "write" and target.role is not Role.PRIMARY:
            return TargetFailure.ROLE
        session.mode, session.statements = mode, []
        session.base_statements = logged_statements(target, target.applied_position)
        session.snapshot = self._current_snapshot(target)
        if mode == "write":
            self.writers[session.target] = session
        return None

    def _commit(self, session: FakeSession, target: FakeTarget) -> TargetFailure | None:
        if session.mode == "write" and target.role is not Role.PRIMARY:
            return TargetFailure.ROLE
        snapshot = session.snapshot
        if session.statements:
            at = self.group.append_entry(target, payload=tuple(session.statements))
            snapshot = (target.term, at, target.role, target.matched)
        self.rollback(session)
        session.snapshot = snapshot
        return None

    def _current_snapshot(self, target: FakeTarget) -> tuple[int, LogPosition, Role, bool]:
        at = (
            target.log[target.applied_position - 1].at if target.applied_position else LogPosition()
        )
        return target.term, at, target.role, target.matched
