"""Pools, a fake group and a network between them, all moved step by step, with an oracle.

Every request of a pool to a target is a flight: it runs, is answered, or is lost, in any order.
"""

from random import Random
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from siskindale.models.bundle import Bundle, Caller, Group, Repeat, StatementClass
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
    AskStatus,
    BatchEnded,
    BundleAdopted,
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    DirectoryChanged,
    Effect,
    Event,
    OpenConnection,
    Reply,
    ReportPrimary,
    RequestArrived,
    RunBatch,
    StatusEnded,
    WaitPosition,
)
from siskindale.pool.tables import Tables
from siskindale.targets.interface import TargetError, TargetFailure
from tests.fakes.database import READ, WRITE, FakeDatabase, FakeSession
from tests.fakes.group import FakeGroup, target
from tests.fakes.settings import vm_settings
from tests.pool.oracle import Asked, Oracle
from tests.pool.oracle import Caller as Session

NAMES = ("a", "b", "c")
CLASSES = (
    StatementClass("filings", repeat=Repeat.FORBIDDEN),
    StatementClass("revisions"),
    StatementClass("browsing", max_age_ms=500),
)
# Fake time begins at a date on which UUIDv7 keys of the tests are neither old nor future.
START_S = 1_000_000.0
BUDGET_MS = 2_000.0


@attrs.define(eq=False)
class Handle:
    """Client side of a connection."""

    session: FakeSession
    usable: bool = True


@attrs.define(eq=False)
class Flight:
    """A request of a pool to a target; `outcome` is its answer once it ran."""

    pool: int
    effect: Any
    sent_at: float
    outcome: Result[Any, TargetError] | None = None
    orphan: bool = False


class World:
    """Everything that a run consists of; each method is one step of it."""

    def __init__(self, pools: int = 2, seed: int = 1) -> None:
        self.now = START_S
        self.random = Random(seed)
        self.group = FakeGroup(NAMES)
        self.group.now = self.now
        self.database = FakeDatabase(self.group)
        self.flights: list[Flight] = []
        self.oracle = Oracle()
        self.sessions = [Session(f"caller{index}") for index in range(2)]
        self.term = 0
        self.writable_term = 0
        self.counter = 0
        self.bundle = bundle()
        self.promote("abc")
        self.group.settle()
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
        for effect in engine.step(tables, events, self.now, self.random):
            self._take(index, effect)
        return tables

    def step(self, pool: int, *events: Event) -> None:
        """Lets a pool tick."""
        effects = engine.step(self.pools[pool], events, self.now, self.random)
        for effect in effects:
            self._take(pool, effect)
        self.check()

    def _take(self, pool: int, effect: Effect) -> None:
        if isinstance(effect, Reply):
            self.oracle.answered(effect.reply, effect.answer, self.now)
            return
        if isinstance(effect, ReportPrimary):
            # A rule promotes at any time, with or without a report.
            return
        if isinstance(effect, CloseConnection):
            effect.connection.handle.usable = False
        self.flights.append(Flight(pool, effect, self.now))

    # Network

    def _target_of(self, flight: Flight) -> str:
        effect = flight.effect
        if isinstance(effect, RunBatch | CloseConnection):
            return str(effect.connection.target.name)
        return str(effect.target.name)

    def execute(self, flight: Flight) -> bool:
        """Lets a request reach its target; False if it cannot now."""
        name = self._target_of(flight)
        if flight.outcome is not None or not self.group.reaches(f"pool{flight.pool}", name):
            return False
        effect = flight.effect
        if isinstance(effect, CloseConnection):
            self.database.close(effect.connection.handle.session)
            self.flights.remove(flight)
            return False
        if isinstance(effect, RunBatch):
            return self._execute_batch(flight, effect)
        if isinstance(effect, OpenConnection):
            flight.outcome = Success(Handle(FakeSession(name)))
        else:
            flight.outcome = Success(self.group.status(name))
        return True

    def _execute_batch(self, flight: Flight, effect: RunBatch) -> bool:
        session = effect.connection.handle.session
        if session.closed:
            flight.outcome = Failure(TargetError(TargetFailure.UNKNOWN, "closed"))
        elif self.database.blocked(session, effect.steps):
            return False
        else:
            flight.outcome = self.database.run(session, effect.steps)
        if flight.orphan:
            self.flights.remove(flight)
        return True

    def answer(self, flight: Flight) -> None:
        """Delivers the answer of a request that ran."""
        if flight.outcome is None or flight.orphan:
            return
        if not self.group.reaches(f"pool{flight.pool}", self._target_of(flight)):
            return
        self.flights.remove(flight)
        self._report(flight, flight.outcome)

    def lose(self, flight: Flight) -> None:
        """Loses a request or its answer; a request on its way may still run later."""
        if isinstance(flight.effect, CloseConnection) or flight.orphan:
            return
        if flight.outcome is None and isinstance(flight.effect, RunBatch):
            flight.orphan = True
        else:
            self.flights.remove(flight)
        if isinstance(flight.effect, RunBatch):
            flight.effect.connection.handle.usable = False
        self._report(flight, Failure(TargetError(TargetFailure.UNKNOWN, "lost")))

    def _report(self, flight: Flight, outcome: Result[Any, TargetError]) -> None:
        effect = flight.effect
        if isinstance(effect, RunBatch):
            self.step(flight.pool, BatchEnded(effect.connection, outcome))
        elif isinstance(effect, OpenConnection):
            if isinstance(outcome, Success):
                event: Event = ConnectionOpened(effect.target, outcome.unwrap())
            else:
                event = ConnectionFailed(effect.target, outcome.failure())
            self.step(flight.pool, event)
        elif isinstance(effect, AskStatus | WaitPosition):
            event = StatusEnded(effect.target, flight.sent_at, effect.purpose, outcome)
            self.step(flight.pool, event)

    def deliver(self, flight: Flight) -> None:
        """Lets a request run and delivers its answer."""
        self.execute(flight)
        if flight in self.flights:
            self.answer(flight)

    # Time

    def advance(self, seconds: float, paused: int | None = None) -> None:
        """Lets time pass; all pools but a paused one tick."""
        self.now += seconds
        self.group.now = self.now
        for index in range(len(self.pools)):
            if index != paused:
                self.step(index)

    def run(self, seconds: float, replicate: bool = True, only: int | None = None) -> None:
        """Delivers everything that links allow while time passes; `only` one pool may run."""
        end = self.now + seconds
        while self.now < end:
            for flight in [f for f in self.flights if only in (None, f.pool)]:
                if flight in self.flights:
                    self.deliver(flight)
            if replicate:
                self.group.settle()
            self.advance(0.004, paused=None if only is None else 1 - only)
            # A request that gets no answer times out.
            for flight in [f for f in self.flights if only in (None, f.pool)]:
                if flight in self.flights and self.now - flight.sent_at > 0.5:
                    self.lose(flight)

    # Group

    def promote(self, fenced: str, follow: bool = True) -> bool:
        """Another party promotes: fences some targets, then promotes the highest of them."""
        self.term += 1
        reached = [n for n in fenced if self.group.reaches("controller", n)]
        for name in reached:
            if isinstance(self.group.client("controller", name).fence(self.term), Success):
                self.database.abort_writer(name)
        if len(reached) < majority(len(NAMES)):
            return False
        best = max(reached, key=lambda n: self.group.targets[n].last)
        self.group.client("controller", best).promote(self.term, NAMES)
        if follow:
            self.follow()
        return True

    def follow(self) -> None:
        """Lets all reachable targets follow the newest primary."""
        primaries = self.group.primaries()
        for name in NAMES:
            if primaries and name != primaries[-1].name:
                before = self.group.targets[name].term
                client = self.group.client("controller", name)
                client.follow(primaries[-1].term, target(primaries[-1].name))
                if self.group.targets[name].term != before:
                    self.database.abort_writer(name)

    def crash(self, name: str) -> None:
        """Stops a target; its open transactions are gone."""
        self.group.crash(name)
        self.database.abort_writer(name)

    def heal(self) -> None:
        """Restores all links and targets."""
        self.group.heal()
        for name in NAMES:
            if not self.group.targets[name].up:
                self.group.restart(name)

    # Callers

    def _ask(self, pool: int, body: Any, asked: Asked) -> Asked:
        asked.request_id = body.request_id
        self.oracle.asked(asked, self.now)
        self.step(pool, RequestArrived(body, asked, 0.0))
        return asked

    def _id(self) -> str:
        self.counter += 1
        return f"r{self.counter}"

    def write(self, pool: int, session: int, write: str | None = None, key: bool = False) -> Asked:
        """Sends a write; a keyed one may repeat an earlier one of the same name."""
        owner = self.sessions[session]
        name, attempt = write or f"w{self.counter}", self._id()
        body = self._statement(owner, "write", attempt, WRITE, (name, attempt))
        if key:
            body = attrs.evolve(body, statement_class="filings", key=key_of(name), digest=name)
        return self._ask(pool, body, Asked(owner, "write", name, attempt, keyed=key))

    def read(self, pool: int, session: int, max_age_ms: float | None = None) -> Asked:
        """Sends a strict read, or one that accepts an age."""
        owner = self.sessions[session]
        body = self._statement(owner, "read", self._id(), READ, ())
        body = attrs.evolve(body, max_age_ms=max_age_ms, statement_class="browsing")
        return self._ask(pool, body, Asked(owner, "read" if max_age_ms is None else "bounded"))

    def begin(self, pool: int, session: int) -> Asked:
        """Opens a transaction."""
        owner = self.sessions[session]
        body = BeginRequest(
            self._id(), owner.name, "g", "revisions", BUDGET_MS, 1, token=owner.position
        )
        return self._ask(pool, body, Asked(owner, "begin", pool=pool))

    def in_transaction(self, begun: Asked, kind: str) -> Asked:
        """Sends "statement", "commit" or "rollback" of a transaction that was opened."""
        assert begun.answer is not None and begun.answer.transaction is not None
        id_, owner, attempt = begun.answer.transaction, begun.session, self._id()
        asked = Asked(owner, kind, attempt, attempt, transaction=begun)
        if kind == "statement":
            values = (attempt, attempt)
            body: Any = TransactionStatement(attempt, owner.name, id_, WRITE, values, BUDGET_MS)
        else:
            body = FinishRequest(attempt, owner.name, id_, kind == "commit", BUDGET_MS)
        return self._ask(begun.pool, body, asked)

    def _statement(
        self, owner: Session, access: str, request_id: str, sql: str, params: tuple
    ) -> StatementRequest:
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
        """Compares the log of the newest writable primary with what callers were told."""
        # A newer term stays the one that counts also while its primary is fenced.
        for found in [t for t in self.group.primaries() if t.term >= self.writable_term][::-1]:
            marker = found.marker
            assert marker is not None
            holders = sum(t.holds(marker.at) for t in self.group.targets.values())
            if holders >= majority(len(NAMES)):
                self.writable_term = found.term
                self.oracle.check_log([e.payload for e in found.log if e.payload])
                return

    def finish(self) -> None:
        """Repairs everything and checks that each request is answered and work goes on."""
        self.heal()
        self.promote("abc")
        self.run(4.0)
        reads = [self.read(pool, 0) for pool in range(len(self.pools))]
        self.run(2.0)
        self.oracle.check_answered()
        for read in reads:
            assert read.answer is not None and read.answer.outcome is Outcome.DONE, read


def key_of(name: str) -> str:
    """Returns the UUIDv7 of a write's name, at the start of fake time."""
    milliseconds = int(START_S * 1000)
    return f"{milliseconds:012x}7{sum(name.encode()):03x}8{name.encode().hex():0>15.15}"


def bundle() -> Bundle:
    """Returns a bundle of one group that two pools serve."""
    targets = tuple(attrs.evolve(target(name), slots=4, connections=8) for name in NAMES)
    return Bundle(
        version=1,
        groups=(Group("g", targets),),
        classes=CLASSES,
        callers=tuple(Caller(f"caller{n}", "", ("g",), ()) for n in range(2)),
    )
