"""Stateful test of the pool's decision logic under faults in any order, checked by an oracle."""

import os
from typing import Any

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from siskindale.models.outcomes import Outcome
from tests.pool.oracle import SentRequest
from tests.pool.world import NAMES, TargetCall, World

pools = st.integers(0, 1)
sessions = st.integers(0, 1)
numbers = st.integers(0, 10_000)
targets = st.sampled_from(NAMES)


class PoolMachine(RuleBasedStateMachine):
    """Two pools, three targets, two sessions."""

    @initialize(seed=numbers)
    def start(self, seed: int) -> None:
        """Starts a world with two pools that know the primary."""
        self.world = World(seed=seed)
        self.begun: list[SentRequest] = []

    def _call_at(self, number: int) -> TargetCall | None:
        calls = self.world.calls
        return calls[number % len(calls)] if calls else None

    @rule(pool=pools, session=sessions, key=st.booleans())
    def write(self, pool: int, session: int, key: bool) -> None:
        """Sends a write, keyed or not."""
        self.world.write(pool, session, key=key)

    @rule(pool=pools, session=sessions, number=numbers)
    def repeat_keyed_write(self, pool: int, session: int, number: int) -> None:
        """Repeats a keyed write on any pool."""
        keyed_writes = [a for a in self.world.oracle.requests if a.keyed]
        own_keyed_writes = [a for a in keyed_writes if a.session is self.world.sessions[session]]
        if own_keyed_writes:
            self.world.write(
                pool, session, own_keyed_writes[number % len(own_keyed_writes)].write, key=True
            )

    @rule(pool=pools, session=sessions, max_age_ms=st.sampled_from([None, 100.0, 1000.0]))
    def read(self, pool: int, session: int, max_age_ms: float | None) -> None:
        """Sends a strict or bounded read."""
        self.world.read(pool, session, max_age_ms)

    @rule(pool=pools, session=sessions)
    def begin(self, pool: int, session: int) -> None:
        """Opens a transaction."""
        self.begun.append(self.world.begin(pool, session))

    @rule(number=numbers, kind=st.sampled_from(["statement", "statement", "commit", "rollback"]))
    def in_transaction(self, number: int, kind: str) -> None:
        """Sends a request of an open transaction."""
        usable = [a for a in self.begun if a.answer and a.answer.outcome is Outcome.DONE]
        if usable:
            self.world.in_transaction(usable[number % len(usable)], kind)

    @rule(number=numbers)
    def deliver(self, number: int) -> None:
        """Runs and answers one request to a target, in any order."""
        if call := self._call_at(number):
            self.world.deliver(call)

    @rule(number=numbers)
    def execute(self, number: int) -> None:
        """Runs a request without delivering its answer."""
        if call := self._call_at(number):
            self.world.execute(call)

    @rule(number=numbers)
    def lose(self, number: int) -> None:
        """Loses a request or its answer."""
        if call := self._call_at(number):
            self.world.lose(call)

    @rule(milliseconds=st.sampled_from([10, 60]), replicate=st.booleans())
    def run(self, milliseconds: int, replicate: bool) -> None:
        """Lets everything proceed for the given time."""
        self.world.run(milliseconds / 1000, replicate)

    @rule(milliseconds=st.sampled_from([1, 30, 700]), paused=st.sampled_from([None, 0, 1]))
    def advance(self, milliseconds: int, paused: int | None) -> None:
        """Advances time without deliveries, optionally with one pool paused."""
        self.world.advance(milliseconds / 1000, paused)

    @rule(name=targets, count=st.integers(1, 3))
    def replicate(self, name: str, count: int) -> None:
        """Ships a few entries to a replica."""
        self.world.group.ship(name, count)

    @rule(name=targets, count=st.integers(1, 3))
    def apply(self, name: str, count: int) -> None:
        """Makes a few entries visible on a replica."""
        self.world.group.apply(name, count)

    @rule(fenced=st.sampled_from(["ab", "bc", "ac", "abc", "a"]), follow=st.booleans())
    def promote(self, fenced: str, follow: bool) -> None:
        """Promotes as a controller does, after fencing the given targets."""
        self.world.promote(fenced, follow)

    @rule()
    def follow(self) -> None:
        """Makes the other targets follow the newest primary."""
        self.world.follow()

    @precondition(lambda self: all(t.up for t in self.world.group.targets.values()))
    @rule(name=targets)
    def crash(self, name: str) -> None:
        """Stops a target; only one at a time, because a majority must survive."""
        self.world.crash(name)

    @rule(name=targets, party=st.sampled_from(["pool0", "pool1", "controller", *NAMES]))
    def cut(self, name: str, party: str) -> None:
        """Cuts a link."""
        if name != party:
            self.world.group.cut(name, party)

    @rule()
    def heal(self) -> None:
        """Restores links and targets."""
        self.world.heal()

    def teardown(self) -> None:
        """Restores everything and checks that requests succeed again."""
        if hasattr(self, "world"):
            self.world.finish()


EXAMPLES = int(os.environ.get("SISKINDALE_EXAMPLES", "60"))

TestPoolMachine: Any = PoolMachine.TestCase
TestPoolMachine.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
