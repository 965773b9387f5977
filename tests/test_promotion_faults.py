"""Injected faults in the promotion rules, each with a scenario in which the oracle detects it.

Each scenario also runs without the fault, to show that the fault and not the scenario fails.
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
from tests.fakes.controllers import GROUP_NAME
from tests.fakes.group import FakeGroup
from tests.fakes.promotions import Scenario, Writer

FENCE, PROMOTE, FOLLOW = Operation.FENCE, Operation.PROMOTE, Operation.FOLLOW


def choose_longest_log(attempt: PromotionRow) -> TargetStatus:
    """Fault: compares logs by position and ignores the term of the last entry."""
    return max(attempt.fenced.values(), key=lambda s: (s.log.position, s.name))


def accept_unknown_commit(
    tables: Tables, call: CommitTerms, failure: PlatformFailure | None, now: float
) -> list[Effect]:
    """Fault: treats a commit with an unknown outcome as successful."""
    row = tables.terms[call.group]
    row.request_pending, row.stage = False, ReservationStage.IDLE
    return terms._add_terms(row, call.terms) if failure in (None, PlatformFailure.UNKNOWN) else []


def hide_previous_voters(group: FakeGroup, name: str) -> TargetStatus:
    """Fault: hides the previous voters, so that a majority of one voter set suffices."""
    return attrs.evolve(ORIGINAL_STATUS(group, name), previous_voters=())


def promote_after_any_fence(
    row: GroupRow, fenced: dict[str, TargetStatus], best: TargetStatus
) -> bool:
    """Fault: promotes as soon as one target is fenced."""
    return True


def check_voters_only(row: GroupRow, fenced: dict[str, TargetStatus], best: TargetStatus) -> bool:
    """Fault: fences a majority of the voters only, even if their marker is not committed."""
    return views.has_majority(fenced, best.voters)


def keep_uncommitted_voters(
    row: GroupRow, attempt: PromotionRow, best: TargetStatus
) -> tuple[str, ...]:
    """Fault: keeps the voters of a marker that is not known to be committed."""
    return attempt.voters if attempt.base_marker == best.marker and attempt.voters else best.voters


ORIGINAL_STATUS = FakeGroup.status
FAULTS = {
    "acknowledge-without-majority": (Writer, "needs_majority", False),
    "choose-longest-log": (promotion, "choose_best_target", choose_longest_log),
    "reuse-term": (terms, "on_commit", accept_unknown_commit),
    "skip-fencing": (promotion, "may_promote_best", promote_after_any_fence),
    "single-set-majority": (FakeGroup, "status", hide_previous_voters),
    "fence-voters-only": (promotion, "may_promote_best", check_voters_only),
}


def promote(
    scenario: Scenario, vm: str, names: str, changed_voter: str = "", chosen: str = ""
) -> None:
    """Fences these targets and delivers the promotion to the chosen ones, by default to all."""
    scenario.start_promotion(vm, changed_voter)
    scenario.deliver_calls(vm, names, [FENCE])
    scenario.deliver_calls(vm, chosen or names, [PROMOTE])


def follow(scenario: Scenario, vm: str, names: str) -> None:
    scenario.deliver_calls(vm, names, [FENCE, FOLLOW])
    scenario.replicate(names)


def write(scenario: Scenario, name: str, others: str = "") -> None:
    scenario.writer.collect(name)
    scenario.writer.write(name)
    scenario.replicate(others)


def lose_unreplicated_write() -> Scenario:
    """A primary that replicates nothing is replaced."""
    scenario = Scenario.create("abc")
    write(scenario, scenario.simulation.group.primaries()[0].name)
    promote(scenario, "x1", "ab")
    return scenario


def diverge() -> Scenario:
    """A replaced primary has the longer log, its successor the log with the newer term."""
    scenario = Scenario.create("abc")
    for _ in range(5):
        scenario.writer.write("c")
    promote(scenario, "x1", "ab")
    follow(scenario, "x1", "a")
    write(scenario, "b", "a")
    promote(scenario, "x2", "ac")
    return scenario


def lose_reservation_commit() -> Scenario:
    """The commit of a reservation is lost before it reaches the store; another one succeeds."""
    scenario = Scenario.create("abc")
    for vm, fate in (("x1", "lost"), ("x2", "delivered")):
        tables = scenario.simulation.controllers[vm].tables
        tables.terms[GROUP_NAME].terms.clear()
        scenario.simulation.controllers[vm].queue_effects(
            terms.run(tables, scenario.simulation.now, scenario.simulation.controllers[vm].random),
            scenario.simulation.now,
        )
        scenario.deliver(vm, 0, "delivered")
        scenario.deliver(vm, 0, fate)
        scenario.start_promotion(vm)
    return scenario


def promote_lagging() -> Scenario:
    """The only target that answers lacks an acknowledged write."""
    scenario = Scenario.create("abc")
    primary = scenario.simulation.group.primaries()[0].name
    lagging, other = sorted(set("abc") - {primary})
    write(scenario, primary, other)
    promote(scenario, "x1", lagging)
    return scenario


def grow_even_set_twice() -> Scenario:
    """Two unfinished changes of the same four voters each add a different target."""
    scenario = Scenario.create("abcd", "ef")
    promote(scenario, "x0", "bcd", "e", chosen="d")
    follow(scenario, "x0", "e")
    promote(scenario, "x1", "abc", "f", chosen="c")
    follow(scenario, "x1", "af")
    write(scenario, "c", "af")
    promote(scenario, "x2", "bde")
    return scenario


def continue_both_changes() -> Scenario:
    """Both unfinished changes are continued by unplanned promotions that do not see each other."""
    scenario = Scenario.create("abcd", "ef")
    promote(scenario, "x0", "bcd", "e", chosen="d")
    follow(scenario, "x0", "e")
    promote(scenario, "x1", "bcde", chosen="de")
    follow(scenario, "x1", "de")
    promote(scenario, "x2", "abc", "f", chosen="c")
    follow(scenario, "x2", "af")
    scenario.simulation.group.now += 5.0
    scenario.simulation.controllers["x2"].tables.promotions.clear()
    promote(scenario, "x2", "abcf", chosen="acf")
    follow(scenario, "x2", "acf")
    write(scenario, scenario.simulation.group.primaries()[-1].name, "acf")
    for name in "acf":
        scenario.simulation.group.cut("x0", name)
    scenario.simulation.controllers["x0"].tables.promotions.clear()
    scenario.refresh("x0")
    promote(scenario, "x0", "bde")
    return scenario


SCENARIOS: dict[str, Callable[[], Scenario]] = {
    "acknowledge-without-majority": lose_unreplicated_write,
    "choose-longest-log": diverge,
    "reuse-term": lose_reservation_commit,
    "skip-fencing": promote_lagging,
    "single-set-majority": grow_even_set_twice,
    "fence-voters-only": continue_both_changes,
}


@pytest.mark.parametrize("fault", FAULTS)
def test_oracle_detects_fault(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an oracle that misses an injected fault."""
    monkeypatch.setattr(*FAULTS[fault])
    if fault == "fence-voters-only":
        monkeypatch.setattr(promotion, "next_voters", keep_uncommitted_voters)
    scenario = SCENARIOS[fault]()
    with pytest.raises(AssertionError, match="missing|twice"):
        scenario.oracle.check()


@pytest.mark.parametrize("fault", FAULTS)
def test_same_scenario_passes_without_the_fault(fault: str) -> None:
    """Guards against promotion rules that lose a write in a known dangerous scenario."""
    SCENARIOS[fault]().oracle.check()
