"""VMs that the directory lists, but that may not exist any more."""

from collections.abc import Iterator
from random import Random
from typing import Any

import attrs
import msgspec
import pytest
from returns.result import Result, Success

from siskindale.models.members import MemberFact, MemberState
from siskindale.proxy.decisions import ownership
from siskindale.proxy.decisions.candidates import ASK_AFTER_S, Candidates
from siskindale.proxy.decisions.membership import GONE_RETENTION_S, MemberTable
from siskindale.proxy.directory import ANSWER_WAIT_S, DIRECTORY_TABLE, Directory
from siskindale.proxy.members import (
    CANDIDATES_AT_ONCE,
    CANDIDATES_INTERVAL_S,
    FACTS_PER_DATAGRAM,
)
from siskindale.store.interface import Changes, Condition, PlatformError, Row, Write
from tests.fakes.clock import FakeClock
from tests.proxy.test_membership import build_fact


@attrs.define
class StartingFleet:
    """VMs that start at once from the rows of a directory, of which only the first ones live."""

    tables: list[MemberTable]
    messages: int = 0

    @classmethod
    def build(cls, live: int, dead: int) -> "StartingFleet":
        """Returns a fleet in which each VM has read the rows of all."""
        facts = [build_fact(number) for number in range(live + dead)]
        tables = [MemberTable(fact, Random(1)) for fact in facts[:live]]
        for table in tables:
            listed = [fact for fact in facts if fact.vm != table.own.vm]
            Random(table.own.vm).shuffle(listed)
            table.candidates.add(listed, 0.0)
        return cls(tables)

    def step(self, now: float) -> None:
        """Lets each VM ask the candidates that are due; those that live answer."""
        by_vm = {table.own.vm: table for table in self.tables}
        for table in self.tables:
            for asked in table.candidates.next_to_ask(now, CANDIDATES_AT_ONCE):
                self.messages += 1
                answering = by_vm.get(asked.vm)
                if answering is not None:
                    answering.merge([table.own], now)
                    updates = answering.take_updates(FACTS_PER_DATAGRAM)
                    table.merge([answering.own, *updates], now)

    @property
    def complete(self) -> bool:
        """Whether each VM knows all others that live, and nobody else."""
        names = {table.own.vm for table in self.tables}
        return all({f.vm for f in table.members()} == names for table in self.tables)


@pytest.mark.parametrize(("live", "dead"), [(3, 0), (3, 60), (63, 0), (63, 60), (340, 430)])
def test_a_fleet_that_starts_knows_who_lives_within_a_moment(live: int, dead: int) -> None:
    """Guards against statements that are forwarded to VMs which only the directory knows.

    Seen in review/5: after a loss of all VMs, most owners were VMs that had been replaced.
    """
    fleet = StartingFleet.build(live, dead)
    now = 0.0
    while not fleet.complete:
        for table in fleet.tables:
            owners = ownership.assign({"g": 16}, table.serving())["g"]
            assert all(int(owner.vm.removeprefix("vm")) < live for owner in owners)
        fleet.step(now)
        now += CANDIDATES_INTERVAL_S
    # A VM waits that long where everything fits into one round; a process takes longer to start.
    assert now <= (ANSWER_WAIT_S if live + dead <= 2 * CANDIDATES_AT_ONCE else 0.5)
    assert fleet.messages / live <= live + len(ASK_AFTER_S) * dead


def test_silent_candidates_are_asked_three_times() -> None:
    """Guards against datagrams to hundreds of replaced VMs for as long as a VM runs."""
    candidates = Candidates()
    candidates.add([build_fact(number) for number in range(430)], 0.0)
    asked = [
        fact.vm
        for tick in range(100)
        for fact in candidates.next_to_ask(tick * CANDIDATES_INTERVAL_S, CANDIDATES_AT_ONCE)
    ]
    assert len(asked) == 430 * len(ASK_AFTER_S)
    assert not candidates.any_to_ask()
    assert len(candidates.silent()) == 430


def test_candidates_are_not_passed_on() -> None:
    """Guards against the start of one VM bringing forgotten VMs back into the fleet."""
    table = MemberTable(build_fact(0), Random(1))
    table.candidates.add([build_fact(1)], 0.0)
    table.take_updates(10)
    assert table.take_updates(10) == ()
    assert [fact.vm for fact in table.members()] == ["vm0"]


def test_a_forgotten_vm_that_answers_is_a_member_again() -> None:
    """Guards against halves of a fleet that never meet again after a long partition."""
    table = MemberTable(build_fact(0), Random(1))
    table.merge([build_fact(1)], 0.0)
    table.suspect("vm1", 1.0)
    table.expire_suspects(10.0)
    table.forget_gone(10.0 + GONE_RETENTION_S)
    assert table.fact("vm1") is None
    assert [fact.vm for fact in table.candidates.silent()] == ["vm1"]
    table.merge([build_fact(1)], 100.0)
    assert table.take_returned() == ["vm1"]
    assert [fact.vm for fact in table.others()] == ["vm1"]
    assert table.candidates.silent() == []


def test_one_member_removes_the_row_of_a_lost_vm() -> None:
    """Guards against rows that stay for ever, and against each VM calling the store for each."""
    facts = [build_fact(number) for number in range(5)]
    tables = [MemberTable(fact, Random(1)) for fact in facts]
    lost = [build_fact(number) for number in range(100, 160)]
    for table in tables:
        table.merge(facts, 0.0)
        table.candidates.add(lost, 0.0)
        for now in ASK_AFTER_S:
            table.candidates.next_to_ask(now, len(lost))
        assert table.lost_to_remove(GONE_RETENTION_S - 1) == []
    removed = [fact.vm for table in tables for fact in table.lost_to_remove(GONE_RETENTION_S)]
    assert sorted(removed) == sorted(fact.vm for fact in lost)


def test_a_vm_that_hears_nobody_removes_no_rows() -> None:
    """Guards against a VM that is cut off from its fleet and removes everybody's rows."""
    table = MemberTable(build_fact(0), Random(1))
    table.merge([build_fact(1, state=MemberState.DRAINING)], 0.0)
    table.candidates.add([build_fact(2)], 0.0)
    for now in ASK_AFTER_S:
        table.candidates.next_to_ask(now, 1)
    assert table.lost_to_remove(10 * GONE_RETENTION_S) == []


@attrs.define
class FakeStore:
    """Rows of the directory, and the calls that were made."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    calls: list[str] = attrs.field(factory=list)

    def put(self, fact: MemberFact, version: int = 1) -> None:
        """Writes the row of a VM."""
        value = msgspec.to_builtins(fact)
        self.rows[fact.vm] = Row(DIRECTORY_TABLE, fact.vm, version, value, False)

    def read(self, _: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns a row."""
        self.calls.append("read")
        return Success(self.rows.get(key))

    def snapshot(self, _: str) -> Result[Changes, PlatformError]:
        """Returns all rows."""
        self.calls.append("snapshot")
        return Success(Changes(tuple(self.rows.values()), 1))

    def commit(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, PlatformError]:
        """Removes rows whose versions are as expected."""
        self.calls.append("commit")
        assert all(self.rows[c.key].version == c.version for c in conditions)
        for write in writes:
            del self.rows[write.key]
        return Success(2)


class FakeMembership:
    """Membership that has lost some VMs."""

    def __init__(self, lost: list[MemberFact]) -> None:
        self.lost = lost
        self.table = MemberTable(build_fact(0), Random(1))

    def on_returned(self, listener: Any) -> None:
        """Does nothing."""

    def lost_to_remove(self) -> list[MemberFact]:
        """Returns the lost VMs."""
        return self.lost


@pytest.fixture
def store() -> Iterator[FakeStore]:
    """A directory of three VMs."""
    store = FakeStore()
    for number in range(3):
        store.put(build_fact(number))
    yield store


def test_rows_of_lost_vms_are_removed_with_few_calls(store: FakeStore) -> None:
    """Guards against calls to the store at rest, and against removing a VM at another address."""
    moved = build_fact(2)
    store.put(attrs.evolve(moved, peers=build_fact(77).peers), version=5)
    membership = FakeMembership([build_fact(1), moved])
    directory = Directory(store, membership, Random(1), FakeClock())  # type: ignore[arg-type]
    directory.remove_lost()
    assert sorted(store.rows) == ["vm0", "vm2"]
    assert store.calls == ["read", "read", "commit"]
    directory.remove_lost()
    assert store.calls == ["read", "read", "commit"]
