"""Detection, promotion, terms and membership on a fake group with several controllers."""

import attrs
import pytest

from siskindale.controller.systems import detection
from siskindale.models.bundle import TargetState
from siskindale.models.wire import PrimaryReport
from siskindale.store.interface import Write
from tests.fakes.controllers import ControllerSimulation
from tests.fakes.group import FakeTarget, bundle_target


@pytest.fixture
def simulation() -> ControllerSimulation:
    """Returns a bootstrapped group whose minimum interval between promotions has passed."""
    simulation = ControllerSimulation()
    simulation.run(6.0)
    return simulation


def primary_name(simulation: ControllerSimulation) -> str:
    return simulation.group.primaries()[-1].name


def event_fields(simulation: ControllerSimulation, name: str) -> list[dict]:
    matching = [e for c in simulation.controllers.values() for e in c.log_events if e.name == name]
    return [e.fields for e in matching]


def test_new_group_gets_one_primary(simulation: ControllerSimulation) -> None:
    """Guards against a group that never starts, or starts with competing primaries."""
    assert [t.name for t in simulation.group.primaries()] == [primary_name(simulation)]
    assert len(event_fields(simulation, "promotion-started")) == 1
    assert all(simulation.group.status(n).matched for n in "abc")


def test_killed_primary_is_replaced_within_a_second(simulation: ControllerSimulation) -> None:
    """Guards against a lost primary that is not replaced, and against a second promotion."""
    old = primary_name(simulation)
    simulation.group.crash(old)
    simulation.run(1.0)
    assert primary_name(simulation) != old
    simulation.run(3.0)
    assert len(event_fields(simulation, "promotion-started")) == 2
    assert event_fields(simulation, "promotion-ended")[-1]["outcome"] == "done"


def promotion_count(simulation: ControllerSimulation) -> int:
    return len(event_fields(simulation, "promotion-started"))


def test_controller_cut_off_from_the_primary_does_not_promote(
    simulation: ControllerSimulation,
) -> None:
    """Guards against a promotion by a controller that alone cannot reach the primary."""
    simulation.group.cut("x0", primary_name(simulation))
    simulation.run(5.0)
    assert event_fields(simulation, "primary-lost")
    assert promotion_count(simulation) == 1
    held_back = event_fields(simulation, "promotion-held-back")
    assert [e["reason"] for e in held_back] == ["nobody confirms the loss"]
    simulation.group.heal()
    simulation.run(0.5)
    assert len(event_fields(simulation, "loss-ended")) == 1


def test_replicas_confirm_when_no_controller_answers(simulation: ControllerSimulation) -> None:
    """Guards against a group that stays without a primary when only one controller is left."""
    simulation.controllers["x1"].up = simulation.controllers["x2"].up = False
    simulation.group.crash(primary_name(simulation))
    simulation.run(1.5)
    assert event_fields(simulation, "promotion-started")[-1]["reason"].endswith(
        "confirmed by replicas"
    )
    assert simulation.group.status(primary_name(simulation)).term > 1


def test_single_cut_off_controller_asks_the_replicas(simulation: ControllerSimulation) -> None:
    """Guards against a controller without peers replacing a primary that replicas still hear."""
    simulation.controllers["x1"].up = simulation.controllers["x2"].up = False
    simulation.group.cut("x0", primary_name(simulation))
    simulation.run(5.0)
    assert promotion_count(simulation) == 1


def test_primary_that_no_replica_hears_is_replaced(simulation: ControllerSimulation) -> None:
    """Guards against keeping a primary that answers controllers but cannot replicate."""
    old = primary_name(simulation)
    simulation.group.isolate(old)
    simulation.run(1.5)
    assert primary_name(simulation) != old
    assert simulation.group.targets[old].role == "replica"


def test_next_rank_promotes_when_the_first_is_down(simulation: ControllerSimulation) -> None:
    """Guards against a group that depends on one controller."""
    simulation.controllers["x0"].up = False
    simulation.group.crash(primary_name(simulation))
    simulation.run(1.3)
    assert promotion_count(simulation) == 2
    assert [e.name for e in simulation.controllers["x1"].log_events][-1] == "promotion-ended"


def test_promotion_and_term_renewal_with_the_store_down(simulation: ControllerSimulation) -> None:
    """Guards against a failover that needs the store, and against terms that are never renewed."""
    simulation.store.faults.tables_down = True
    old = primary_name(simulation)
    simulation.group.crash(old)
    simulation.run(1.0)
    assert primary_name(simulation) != old
    simulation.run(2.0)
    highest_term = simulation.group.status(primary_name(simulation)).term
    before = {vm: list(c.tables.terms["g"].terms) for vm, c in simulation.controllers.items()}
    assert min(len(t) for t in before.values()) < 2
    simulation.store.faults.tables_down = False
    simulation.run(2.0)
    reserved = [c.tables.terms["g"].terms for c in simulation.controllers.values()]
    assert all(len(terms) == 2 and min(terms) > highest_term for terms in reserved)
    assert len({t for terms in reserved for t in terms}) == 6


@pytest.mark.parametrize("row_restored", [True, False])
def test_no_term_is_reserved_a_second_time_after_a_restoration(row_restored: bool) -> None:
    """Guards against two promotions with one term, of which the restored store lacks the first."""
    simulation = ControllerSimulation()
    backup = {}
    if row_restored:
        simulation.store.commit([], [Write("terms", "g", {"highest": 1})])
        backup = dict(simulation.store.rows)
    simulation.run(1.0)
    reserved = {t for c in simulation.controllers.values() for t in c.tables.terms["g"].terms}
    assert len(reserved) == 6
    simulation.store.restore(backup, era=2)
    simulation.restart("x1")
    if not row_restored:
        simulation.controllers["x1"].tables.store_era = 2
    simulation.run(1.0)
    assert len(simulation.controllers["x1"].tables.terms["g"].terms) == 2
    assert not reserved & set(simulation.controllers["x1"].tables.terms["g"].terms)


@pytest.mark.parametrize("sent", [True, False])
def test_lost_store_answer_is_resolved_by_reading(sent: bool) -> None:
    """Guards against a term used by two controllers, and a reservation that is never completed."""
    simulation = ControllerSimulation()
    simulation.tick("x0")
    reads = [i for i, (_, e) in enumerate(simulation.controllers["x0"].pending) if "Read" in str(e)]
    simulation.deliver("x0", reads[0])
    last = len(simulation.controllers["x0"].pending) - 1
    simulation.deliver("x0", last, sent=sent, answered=False)
    assert simulation.controllers["x0"].tables.terms["g"].terms == []
    simulation.run(1.5)
    reserved = [c.tables.terms["g"].terms for c in simulation.controllers.values()]
    assert len({t for terms in reserved for t in terms}) == 6
    row = simulation.store.read("terms", "g").unwrap()
    assert row is not None
    assert len({t for _, *terms in row.value["reservations"] for t in terms}) >= 6


@pytest.mark.parametrize("steps", range(12))
def test_paused_promoter_does_not_undo_a_later_promotion(
    simulation: ControllerSimulation, steps: int
) -> None:
    """Guards against a promoter that pauses between any two steps and undoes a later promotion."""
    simulation.group.crash(primary_name(simulation))
    simulation.run(0.5)
    paused = simulation.controllers["x0"]
    while not paused.tables.promotions:
        simulation.tick("x0")
        simulation.tick("x1")
        for vm in ("x1", "x0"):
            if not paused.tables.promotions:
                simulation.deliver_all(vm)
        simulation.group.now += 0.01
    for _ in range(steps):
        if paused.pending:
            simulation.deliver("x0")
    paused.up = False
    simulation.run(7.0)
    before = simulation.group.status(primary_name(simulation))
    paused.up = True
    simulation.run(3.0)
    after = simulation.group.status(primary_name(simulation))
    assert (after.name, after.term) == (before.name, before.term)
    assert len({t.term for t in simulation.group.primaries()}) == len(simulation.group.primaries())


def test_two_promoters_at_once_leave_one_primary(simulation: ControllerSimulation) -> None:
    """Guards against concurrent promotions that both succeed or both fail permanently."""
    simulation.group.crash(primary_name(simulation))
    for controller in simulation.controllers.values():
        controller.row.rank = 0
    simulation.run(1.2)
    assert len(set(simulation.started_terms)) == len(simulation.started_terms)
    alive = [t for t in simulation.group.targets.values() if t.up]
    assert [t.role for t in alive].count("primary") == 1
    assert len({t.term for t in alive}) == 1


def test_no_flapping(simulation: ControllerSimulation) -> None:
    """Guards against promotions in quick succession, and against a returning old primary."""
    old = primary_name(simulation)
    simulation.group.crash(old)
    simulation.run(2.0)
    simulation.group.restart(old)
    simulation.run(5.0)
    assert promotion_count(simulation) == 2
    assert simulation.group.status(old).matched
    for _ in range(12):
        crashed = primary_name(simulation)
        simulation.group.crash(crashed)
        simulation.run(4.0)
        simulation.group.restart(crashed)
        simulation.run(3.0)
    times = sorted(t for t in simulation.controllers["x0"].row.promotion_times)
    assert all(later - earlier >= 5.0 for earlier, later in zip(times, times[1:], strict=False))
    assert promotion_count(simulation) <= 7


def test_resumed_controller_ignores_old_probes(simulation: ControllerSimulation) -> None:
    """Guards against a paused controller that considers all primaries lost when it resumes."""
    simulation.controllers["x0"].up = simulation.controllers["x1"].up = False
    simulation.run(5.0)
    simulation.controllers["x0"].up = simulation.controllers["x1"].up = True
    simulation.run(1.0)
    assert promotion_count(simulation) == 1
    assert not event_fields(simulation, "primary-lost")


def test_minority_does_not_promote(simulation: ControllerSimulation) -> None:
    """Guards against fencing the only target that is left."""
    old = primary_name(simulation)
    other = next(n for n in "abc" if n != old)
    simulation.group.crash(old)
    simulation.group.crash(other)
    simulation.run(3.0)
    assert promotion_count(simulation) == 1


def test_leaving_primary_is_replaced_and_stops_voting(simulation: ControllerSimulation) -> None:
    """Guards against a leaving target that remains primary or a voter."""
    old = primary_name(simulation)
    others = [bundle_target(n) for n in "abc" if n != old]
    simulation.set_targets(*others, attrs.evolve(bundle_target(old), state=TargetState.LEAVING))
    simulation.run(1.0)
    assert primary_name(simulation) != old
    assert set(simulation.group.status(primary_name(simulation)).voters) == set("abc") - {old}
    assert promotion_count(simulation) == 2


def test_replica_that_the_platform_removes_does_not_move_the_primary(
    simulation: ControllerSimulation,
) -> None:
    """Guards against more than one promotion, or a moved primary, when a replica leaves."""
    primary = primary_name(simulation)
    leaving = next(n for n in "cba" if n != primary)
    for controller in simulation.controllers.values():
        controller.tables.leaving = frozenset({leaving})
    simulation.run(7.0)
    assert primary_name(simulation) == primary
    assert leaving not in simulation.group.status(primary).voters
    assert promotion_count(simulation) == 2


def test_wrong_live_list_keeps_two_voters(simulation: ControllerSimulation) -> None:
    """Guards against losing all voters to a live list that names every target as leaving."""
    for controller in simulation.controllers.values():
        controller.tables.leaving = frozenset("abc")
    simulation.run(15.0)
    assert promotion_count(simulation) == 1


def test_joining_target_catches_up_before_it_votes(simulation: ControllerSimulation) -> None:
    """Guards against a voter with an empty log, and a target that is never told to follow."""
    name = primary_name(simulation)
    for _ in range(200):
        simulation.group.write("w", name, "w")
    simulation.group.targets["d"] = FakeTarget("d")
    simulation.group.cut("d", name)
    simulation.set_targets(
        *map(bundle_target, "abc"), attrs.evolve(bundle_target("d"), state=TargetState.JOINING)
    )
    simulation.run(2.0)
    assert simulation.group.targets["d"].primary == name
    assert promotion_count(simulation) == 1
    simulation.group.heal()
    simulation.run(2.0)
    newest = simulation.group.status(primary_name(simulation))
    assert (newest.name, set(newest.voters)) == (name, set("abcd"))
    assert promotion_count(simulation) == 2


def test_new_group_waits_for_all_targets() -> None:
    """Guards against a first promotion that ignores a target which may already have a log."""
    simulation = ControllerSimulation()
    simulation.group.crash("a")
    simulation.run(3.0)
    assert not simulation.started_terms
    simulation.group.restart("a")
    simulation.run(1.0)
    assert len(simulation.group.primaries()) == 1


def report_primary_unreachable(simulation: ControllerSimulation, *vms: str) -> None:
    """Makes pools report the present primary as unreachable every 100 ms for two seconds."""
    for controller in simulation.controllers.values():
        controller.row.pools = ("p0", "p1")
    for _ in range(20):
        for controller in simulation.controllers.values():
            term = controller.row.highest_term
            for vm in vms:
                message = PrimaryReport(controller.row.name, term)
                detection.record_pool_report(controller.tables, vm, message, simulation.now)
        simulation.run(0.1)


def test_primary_that_no_pool_reaches_is_replaced(simulation: ControllerSimulation) -> None:
    """Guards against an unwritable group when only its pools cannot reach the primary."""
    old = primary_name(simulation)
    report_primary_unreachable(simulation, "p0", "p1")
    assert primary_name(simulation) != old
    assert promotion_count(simulation) == 2


def test_one_pool_that_is_cut_off_does_not_cause_a_promotion(
    simulation: ControllerSimulation,
) -> None:
    """Guards against a promotion because a single pool cannot reach the primary."""
    old = primary_name(simulation)
    report_primary_unreachable(simulation, "p0")
    simulation.run(1.0)
    report_primary_unreachable(simulation, "p1", "stranger")
    assert primary_name(simulation) == old
    assert promotion_count(simulation) == 1
