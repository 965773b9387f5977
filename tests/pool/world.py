"""Simulated pools, a fake group and a network between them, advanced step by step, with an oracle.

Every request of a pool to a target is a `TargetCall`, which runs, is answered or is lost in any
order.
"""

from random import Random
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from siskindale.models.bundle import Bundle, Caller, Group, RepeatPolicy, StatementClass
from siskindale.models.group import majority
from siskindale.models.outcomes import Outcome
from siskindale.models.wire import (
    BeginRequest,
    FinishRequest,
    StatementRequest,
    TransactionStatement,
)
from siskindale.pool import engine
from siskindale.pool.effects import (
    BatchCompleted,
    BundleAdopted,
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    DirectoryChanged,
    Effect,
    Event,
    OpenConnection,
    Reply,
    ReportUnreachablePrimary,
    RequestArrived,
    RequestStatus,
    RunBatch,
    StatusCompleted,
    WaitForPosition,
)
from siskindale.pool.tables import Tables
from siskindale.targets.interface import TargetError, TargetFailure
from tests.fakes.database import READ, WRITE, FakeDatabase, FakeSession
from tests.fakes.group import FakeGroup, bundle_target
from tests.fakes.settings import vm_settings
from tests.pool.oracle import Oracle, SentRequest, Session

NAMES = ("a", "b", "c")
CLASSES = (
    StatementClass("filings", repeat=RepeatPolicy.FORBIDDEN),
    StatementClass("revisions"),
    StatementClass("browsing", max_age_ms=500),
)
# Start of simulated time; the UUIDv7 keys of the tests are neither expired nor in the future.
START_S = 1_000_000.0
BUDGET_MS = 2_000.0


@attrs.define(eq=False)
class ConnectionHandle:
    """Client side of a simulated connection."""

    session: FakeSession
    usable: bool = True


@attrs.define(eq=False)
class TargetCall:
    """A request of a pool to a target; `outcome` is its answer once it has run.

    The pool has given up an abandoned call, which may still run on the target.
    """

    pool: int
    effect: Any
    sent_at: float
    outcome: Result[Any, TargetError] | None = None
    abandoned: bool = False


class World:
    """Complete state of a simulation; each public method is one step."""

    def __init__(self, pools: int = 2, seed: int = 1) -> None:
        self.now = START_S
        self.random = Random(seed)
        self.group = FakeGroup(NAMES)
        self.group.now = self.now
        self.database = FakeDatabase(self.group)
        self.calls: list[TargetCall] = []
        self.oracle = Oracle()
        self.sessions = [Session(f"caller{index}") for index in range(2)]
        self.term = 0
        self.writable_term = 0
        self.counter = 0
        self.bundle = bundle()
        self.promote("abc")
        self.group.replicate_all()
        self.pools = [self._new_pool(index, pools) for index in range(pools)]
        self.run(1.0)

    def _new_pool(self, index: int, pools: int) -> Tables:
        tables = Tables(settings=vm_settings(index), boot=f"boot{index}")
        self.pools = getattr(self, "pools", [])
        names = tuple(f"vm{n}" for n in range(pools))
        events = [
            DirectoryChanged({"g": names[index:] + names[:index]}, frozenset()),
            BundleAdopted(self.bundle),
        ]
        for effect in engine.run_tick(tables, events, self.now, self.random):
            self._handle_effect(index, effect)
        return tables

    def tick(self, pool: int, *events: Event) -> None:
        """Runs one tick of a pool."""
        effects = engine.run_tick(self.pools[pool], events, self.now, self.random)
        for effect in effects:
            self._handle_effect(pool, effect)
        self.check()

    def _handle_effect(self, pool: int, effect: Effect) -> None:
        if isinstance(effect, Reply):
            self.oracle.answer_received(effect.reply_handle, effect.answer, self.now)
            return
        if isinstance(effect, ReportUnreachablePrimary):
            # The state machine promotes at any time, with or without a report.
            return
        if isinstance(effect, CloseConnection):
            effect.connection.handle.usable = False
        self.calls.append(TargetCall(pool, effect, self.now))

    # Network

    def _target_of(self, call: TargetCall) -> str:
        effect = call.effect
        if isinstance(effect, RunBatch | CloseConnection):
            return str(effect.connection.target.name)
        return str(effect.target.name)

    def execute(self, call: TargetCall) -> bool:
        """Runs a request on its target; returns False if it cannot run now."""
        name = self._target_of(call)
        if call.outcome is not None or not self.group.can_reach(f"pool{call.pool}", name):
            return False
        effect = call.effect
        if isinstance(effect, CloseConnection):
            self.database.close(effect.connection.handle.session)
            self.calls.remove(call)
            return False
        if isinstance(effect, RunBatch):
            return self._execute_batch(call, effect)
        if isinstance(effect, OpenConnection):
            call.outcome = Success(ConnectionHandle(FakeSession(name)))
        else:
            call.outcome = Success(self.group.status(name))
        return True

    def _execute_batch(self, call: TargetCall, effect: RunBatch) -> bool:
        session = effect.connection.handle.session
        if session.closed:
            call.outcome = Failure(TargetError(TargetFailure.UNKNOWN, "closed"))
        elif self.database.is_blocked(session, effect.steps):
            return False
        else:
            call.outcome = self.database.run(session, effect.steps)
        if call.abandoned:
            self.calls.remove(call)
        return True

    def answer(self, call: TargetCall) -> None:
        """Delivers the answer of a request that has run."""
        if call.outcome is None or call.abandoned:
            return
        if not self.group.can_reach(f"pool{call.pool}", self._target_of(call)):
            return
        self.calls.remove(call)
        self._report_outcome(call, call.outcome)

    def lose(self, call: TargetCall) -> None:
        """Loses a request or its answer; a batch that has not run yet may still run later."""
        if isinstance(call.effect, CloseConnection) or call.abandoned:
            return
        if call.outcome is None and isinstance(call.effect, RunBatch):
            call.abandoned = True
        else:
            self.calls.remove(call)
        if isinstance(call.effect, RunBatch):
            call.effect.connection.handle.usable = False
        self._report_outcome(call, Failure(TargetError(TargetFailure.UNKNOWN, "lost")))

    def _report_outcome(self, call: TargetCall, outcome: Result[Any, TargetError]) -> None:
        effect = call.effect
        if isinstance(effect, RunBatch):
            self.tick(call.pool, BatchCompleted(effect.connection, outcome))
        elif isinstance(effect, OpenConnection):
            if isinstance(outcome, Success):
                event: Event = ConnectionOpened(effect.target, outcome.unwrap())
            else:
                event = ConnectionFailed(effect.target, outcome.failure())
            self.tick(call.pool, event)
        elif isinstance(effect, RequestStatus | WaitForPosition):
            event = StatusCompleted(effect.target, call.sent_at, effect.purpose, outcome)
            self.tick(call.pool, event)

    def deliver(self, call: TargetCall) -> None:
        """Runs a request and delivers its answer."""
        self.execute(call)
        if call in self.calls:
            self.answer(call)

    # Time

    def advance(self, seconds: float, paused: int | None = None) -> None:
        """Advances time and runs one tick of every pool except a paused one."""
        self.now += seconds
        self.group.now = self.now
        for index in range(len(self.pools)):
            if index != paused:
                self.tick(index)

    def run(self, seconds: float, replicate: bool = True, only: int | None = None) -> None:
        """Advances time and delivers everything that links allow; `only` limits it to one pool."""
        end = self.now + seconds
        while self.now < end:
            for call in [c for c in self.calls if only in (None, c.pool)]:
                if call in self.calls:
                    self.deliver(call)
            if replicate:
                self.group.replicate_all()
            self.advance(0.004, paused=None if only is None else 1 - only)
            # Requests without an answer time out.
            for call in [c for c in self.calls if only in (None, c.pool)]:
                if call in self.calls and self.now - call.sent_at > 0.5:
                    self.lose(call)

    # Group

    def promote(self, fenced: str, follow: bool = True) -> bool:
        """Acts as a controller: fences targets and promotes the most advanced one of a majority."""
        self.term += 1
        reached = [n for n in fenced if self.group.can_reach("controller", n)]
        for name in reached:
            if isinstance(self.group.control_client("controller", name).fence(self.term), Success):
                self.database.abort_writer(name)
        if len(reached) < majority(len(NAMES)):
            return False
        latest = max(reached, key=lambda n: self.group.targets[n].last_position)
        self.group.control_client("controller", latest).promote(self.term, NAMES)
        if follow:
            self.follow()
        return True

    def follow(self) -> None:
        """Makes all reachable targets follow the newest primary."""
        primaries = self.group.primaries()
        for name in NAMES:
            if primaries and name != primaries[-1].name:
                before = self.group.targets[name].term
                client = self.group.control_client("controller", name)
                client.follow(primaries[-1].term, bundle_target(primaries[-1].name))
                if self.group.targets[name].term != before:
                    self.database.abort_writer(name)

    def crash(self, name: str) -> None:
        """Stops a target, which loses its open transactions."""
        self.group.crash(name)
        self.database.abort_writer(name)

    def heal(self) -> None:
        """Restores all links and targets."""
        self.group.heal()
        for name in NAMES:
            if not self.group.targets[name].up:
                self.group.restart(name)

    # Callers

    def _send(self, pool: int, body: Any, sent: SentRequest) -> SentRequest:
        sent.request_id = body.request_id
        self.oracle.request_sent(sent, self.now)
        self.tick(pool, RequestArrived(body, sent, 0.0))
        return sent

    def _next_id(self) -> str:
        self.counter += 1
        return f"r{self.counter}"

    def write(
        self, pool: int, session: int, write: str | None = None, key: bool = False
    ) -> SentRequest:
        """Sends a write; a keyed write may repeat an earlier one of the same name."""
        owner = self.sessions[session]
        name, attempt = write or f"w{self.counter}", self._next_id()
        body = self.statement_request(owner, "write", attempt, WRITE, (name, attempt))
        if key:
            body = attrs.evolve(body, statement_class="filings", key=key_of(name), digest=name)
        return self._send(pool, body, SentRequest(owner, "write", name, attempt, keyed=key))

    def read(self, pool: int, session: int, max_age_ms: float | None = None) -> SentRequest:
        """Sends a strict read, or a bounded-staleness read if `max_age_ms` is given."""
        owner = self.sessions[session]
        body = self.statement_request(owner, "read", self._next_id(), READ, ())
        body = attrs.evolve(body, max_age_ms=max_age_ms, statement_class="browsing")
        return self._send(
            pool, body, SentRequest(owner, "read" if max_age_ms is None else "bounded")
        )

    def begin(self, pool: int, session: int) -> SentRequest:
        """Opens a transaction."""
        owner = self.sessions[session]
        body = BeginRequest(
            self._next_id(), owner.name, "g", "revisions", BUDGET_MS, 1, token=owner.position
        )
        return self._send(pool, body, SentRequest(owner, "begin", pool=pool))

    def in_transaction(self, begun: SentRequest, kind: str) -> SentRequest:
        """Sends a "statement", "commit" or "rollback" request of an open transaction."""
        assert begun.answer is not None and begun.answer.transaction is not None
        transaction_id, owner, attempt = begun.answer.transaction, begun.session, self._next_id()
        sent = SentRequest(owner, kind, attempt, attempt, transaction=begun)
        if kind == "statement":
            values = (attempt, attempt)
            body: Any = TransactionStatement(
                attempt, owner.name, transaction_id, WRITE, values, BUDGET_MS
            )
        else:
            body = FinishRequest(attempt, owner.name, transaction_id, kind == "commit", BUDGET_MS)
        return self._send(begun.pool, body, sent)

    def statement_request(
        self, owner: Session, access: str, request_id: str, sql: str, params: tuple
    ) -> StatementRequest:
        """Returns a request for one statement on behalf of a session."""
        return StatementRequest(
            request_id=request_id,
            caller=owner.name,
            group="g",
            statement_class="revisions",
            access=access,
            sql=sql,
            params=params,
            budget_ms=BUDGET_MS,
            bundle_version=1,
            token=owner.position,
        )

    # Checks

    def check(self) -> None:
        """Checks the log of the newest writable primary against the answers to callers."""
        # The newest writable term remains authoritative while its primary is fenced.
        for primary in [t for t in self.group.primaries() if t.term >= self.writable_term][::-1]:
            marker = primary.marker
            assert marker is not None
            holders = sum(t.has_entry(marker.at) for t in self.group.targets.values())
            if holders >= majority(len(NAMES)):
                self.writable_term = primary.term
                self.oracle.check_log([e.payload for e in primary.log if e.payload])
                return

    def finish(self) -> None:
        """Restores everything, then checks that all requests are answered and reads succeed."""
        self.heal()
        self.promote("abc")
        self.run(4.0)
        reads = [self.read(pool, 0) for pool in range(len(self.pools))]
        self.run(2.0)
        self.oracle.check_all_answered()
        for read in reads:
            assert read.answer is not None and read.answer.outcome is Outcome.DONE, read


def key_of(name: str) -> str:
    """Returns a UUIDv7 derived from a write's name, timestamped at the start of simulated time."""
    milliseconds = int(START_S * 1000)
    return f"{milliseconds:012x}7{sum(name.encode()):03x}8{name.encode().hex():0>15.15}"


def bundle() -> Bundle:
    """Returns a bundle with one group and two callers."""
    targets = tuple(attrs.evolve(bundle_target(name), slots=4, connections=8) for name in NAMES)
    return Bundle(
        version=1,
        groups=(Group("g", targets),),
        classes=CLASSES,
        callers=tuple(Caller(f"caller{n}", "", ("g",), ()) for n in range(2)),
    )
