"""Broken rules of promotion, each with a course of events in which the oracle notices it.

Each course also runs with the rules intact, so that it proves the fault and not the course.
"""

from collections.abc import Callable

import attrs
import pytest

from siskindale.controller import views
from siskindale.controller.effects import CommitTerms, Effect, Operation
from siskindale.controller.systems import promotion, terms
from siskindale.controller.tables import GroupRow, PromotionRow, ReservationStage, Tables
from siskindale.models.group import TargetStatus
from siskindale.store.interface import PlatformFailure
from tests.fakes.controllers import NAME
from tests.fakes.group import FakeGroup
from tests.fakes.promotions import Scenario, Writer

FENCE, PROMOTE, FOLLOW = Operation.FENCE, Operation.PROMOTE, Operation.FOLLOW


def choose_longest(current: PromotionRow) -> TargetStatus:
    """Ignores the term of the last entry."""
    return max(current.fenced.values(), key=lambda s: (s.log.position, s.name))


def grant_unread(
    tables: Tables, call: CommitTerms, failure: PlatformFailure | None, now: float
) -> list[Effect]:
    """Takes a commit without an answer for one that took effect."""
    row = tables.terms[call.group]
    row.busy, row.stage = False, ReservationStage.IDLE
    return terms._grant(row, call.terms) if failure in (None, PlatformFailure.UNKNOWN) else []


def hide_previous_voters(group: FakeGroup, name: str) -> TargetStatus:
    """Lets everyone count the majority of one set of voters alone."""
    return attrs.evolve(FAITHFUL_STATUS(group, name), previous_voters=())


def fence_one(row: GroupRow, fenced: dict[str, TargetStatus], best: TargetStatus) -> bool:
    """Promotes as soon as one target is fenced."""
    return True


def fence_voters(row: GroupRow, fenced: dict[str, TargetStatus], best: TargetStatus) -> bool:
    """Fences a majority of the voters alone, whether their marker is committed or not."""
    return views.has_majority(fenced, best.voters)


def keep_voters(row: GroupRow, current: PromotionRow, best: TargetStatus) -> tuple[str, ...]:
    """Keeps the voters of a marker that is not known to be committed."""
    return current.voters if current.base == best.marker and current.voters else best.voters


FAITHFUL_STATUS = FakeGroup.status
FAULTS = {
    "acknowledge-without-majority": (Writer, "needs_majority", False),
    "choose-longest-log": (promotion, "choose_best", choose_longest),
    "reuse-term": (terms, "on_commit", grant_unread),
    "skip-fencing": (promotion, "may_promote_best", fence_one),
    "single-set-majority": (FakeGroup, "status", hide_previous_voters),
    "fence-voters-only": (promotion, "may_promote_best", fence_voters),
}


def promote(scenario: Scenario, vm: str, names: str, flipped: str = "", chosen: str = "") -> None:
    """Promotes on these targets; only the chosen one is told anything beyond the fence."""
    scenario.start(vm, flipped)
    scenario.call(vm, names, [FENCE])
    scenario.call(vm, chosen or names, [PROMOTE])


def follow(scenario: Scenario, vm: str, names: str) -> None:
    scenario.call(vm, names, [FENCE, FOLLOW])
    scenario.replicate(names)


def write(scenario: Scenario, name: str, others: str = "") -> None:
    scenario.writer.collect(name)
    scenario.writer.write(name)
    scenario.replicate(others)


def lose_unreplicated_write() -> Scenario:
    """A primary that replicates nothing is replaced."""
    scenario = Scenario.create("abc")
    write(scenario, scenario.world.group.primaries()[0].name)
    promote(scenario, "x1", "ab")
    return scenario


def diverge() -> Scenario:
    """A replaced primary has the longer log, its successor the newer one."""
    scenario = Scenario.create("abc")
    for _ in range(5):
        scenario.writer.write("c")
    promote(scenario, "x1", "ab")
    follow(scenario, "x1", "a")
    write(scenario, "b", "a")
    promote(scenario, "x2", "ac")
    return scenario


def lose_commit() -> Scenario:
    """The commit of a reservation is lost on its way to the store; another one succeeds."""
    scenario = Scenario.create("abc")
    for vm, fate in (("x1", "lost"), ("x2", "delivered")):
        tables = scenario.world.controllers[vm].tables
        tables.terms[NAME].terms.clear()
        scenario.world.controllers[vm].take(
            terms.run(tables, scenario.world.now, scenario.world.controllers[vm].random),
            scenario.world.now,
        )
        scenario.deliver(vm, 0, "delivered")
        scenario.deliver(vm, 0, fate)
        scenario.start(vm)
    return scenario


def promote_lagging() -> Scenario:
    """The only target that answers has not received an acknowledged write."""
    scenario = Scenario.create("abc")
    primary = scenario.world.group.primaries()[0].name
    lagging, other = sorted(set("abc") - {primary})
    write(scenario, primary, other)
    promote(scenario, "x1", lagging)
    return scenario


def grow_even_set_twice() -> Scenario:
    """Two unfinished changes of four voters add a different target each."""
    scenario = Scenario.create("abcd", "ef")
    promote(scenario, "x0", "bcd", "e", chosen="d")
    follow(scenario, "x0", "e")
    promote(scenario, "x1", "abc", "f", chosen="c")
    follow(scenario, "x1", "af")
    write(scenario, "c", "af")
    promote(scenario, "x2", "bde")
    return scenario


def continue_both_changes() -> Scenario:
    """Both unfinished changes are taken up by unplanned promotions that do not meet."""
    scenario = Scenario.create("abcd", "ef")
    promote(scenario, "x0", "bcd", "e", chosen="d")
    follow(scenario, "x0", "e")
    promote(scenario, "x1", "bcde", chosen="de")
    follow(scenario, "x1", "de")
    promote(scenario, "x2", "abc", "f", chosen="c")
    follow(scenario, "x2", "af")
    scenario.world.group.now += 5.0
    scenario.world.controllers["x2"].tables.promotions.clear()
    promote(scenario, "x2", "abcf", chosen="acf")
    follow(scenario, "x2", "acf")
    write(scenario, scenario.world.group.primaries()[-1].name, "acf")
    for name in "acf":
        scenario.world.group.cut("x0", name)
    scenario.world.controllers["x0"].tables.promotions.clear()
    scenario.refresh("x0")
    promote(scenario, "x0", "bde")
    return scenario


COURSES: dict[str, Callable[[], Scenario]] = {
    "acknowledge-without-majority": lose_unreplicated_write,
    "choose-longest-log": diverge,
    "reuse-term": lose_commit,
    "skip-fencing": promote_lagging,
    "single-set-majority": grow_even_set_twice,
    "fence-voters-only": continue_both_changes,
}


@pytest.mark.parametrize("fault", FAULTS)
def test_oracle_catches(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an oracle that passes over a broken rule."""
    monkeypatch.setattr(*FAULTS[fault])
    if fault == "fence-voters-only":
        monkeypatch.setattr(promotion, "next_voters", keep_voters)
    scenario = COURSES[fault]()
    with pytest.raises(AssertionError, match="missing|twice"):
        scenario.oracle.check()


@pytest.mark.parametrize("fault", FAULTS)
def test_same_course_keeps_promises(fault: str) -> None:
    """Guards against rules of promotion that lose a write in a known dangerous course."""
    COURSES[fault]().oracle.check()
