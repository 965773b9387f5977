"""Detection, promotion, terms and membership over a fake group, with all controllers working."""

import attrs
import pytest

from siskindale.controller.systems import detection
from siskindale.models.bundle import TargetState
from siskindale.models.wire import PrimaryReport
from tests.fakes.controllers import World
from tests.fakes.group import FakeTarget, target


@pytest.fixture
def world() -> World:
    """Returns a group that was bootstrapped and has idled beyond the minimum interval."""
    made = World()
    made.run(6.0)
    return made


def primary(world: World) -> str:
    return world.group.primaries()[-1].name


def events(world: World, name: str) -> list[dict]:
    found = [r for c in world.controllers.values() for r in c.records if r.event == name]
    return [r.fields for r in found]


def test_new_group_gets_one_primary(world: World) -> None:
    """Guards against a group that never starts, or starts with competing primaries."""
    assert [t.name for t in world.group.primaries()] == [primary(world)]
    assert len(events(world, "promotion-started")) == 1
    assert all(world.group.status(n).matched for n in "abc")


def test_killed_primary_is_replaced_within_a_second(world: World) -> None:
    """Guards against a lost primary that is not replaced, and against a second promotion."""
    old = primary(world)
    world.group.crash(old)
    world.run(1.0)
    assert primary(world) != old
    world.run(3.0)
    assert len(events(world, "promotion-started")) == 2
    assert events(world, "promotion-ended")[-1]["outcome"] == "done"


def started(world: World) -> int:
    return len(events(world, "promotion-started"))


def test_one_blind_controller_does_not_promote(world: World) -> None:
    """Guards against a promotion because of a controller that is cut off itself."""
    world.group.cut("x0", primary(world))
    world.run(5.0)
    assert events(world, "primary-lost")
    assert started(world) == 1
    held_back = events(world, "promotion-held-back")
    assert [e["reason"] for e in held_back] == ["nobody confirms the loss"]
    world.group.heal()
    world.run(0.5)
    assert len(events(world, "loss-ended")) == 1


def test_replicas_confirm_when_no_controller_answers(world: World) -> None:
    """Guards against a group that stays without primary when one controller is left."""
    world.controllers["x1"].up = world.controllers["x2"].up = False
    world.group.crash(primary(world))
    world.run(1.5)
    assert events(world, "promotion-started")[-1]["reason"].endswith("confirmed by replicas")
    assert world.group.status(primary(world)).term > 1


def test_lone_blind_controller_asks_the_replicas(world: World) -> None:
    """Guards against a controller without peers that replaces a primary its replicas still hear."""
    world.controllers["x1"].up = world.controllers["x2"].up = False
    world.group.cut("x0", primary(world))
    world.run(5.0)
    assert started(world) == 1


def test_primary_that_no_replica_hears_is_replaced(world: World) -> None:
    """Guards against keeping a primary that answers controllers but cannot replicate."""
    old = primary(world)
    world.group.isolate(old)
    world.run(1.5)
    assert primary(world) != old
    assert world.group.targets[old].role == "replica"


def test_next_rank_promotes_when_the_first_is_dead(world: World) -> None:
    """Guards against a group that depends on one controller."""
    world.controllers["x0"].up = False
    world.group.crash(primary(world))
    world.run(1.3)
    assert started(world) == 2
    assert [r.event for r in world.controllers["x1"].records][-1] == "promotion-ended"


def test_promotion_and_renewal_with_the_store_down(world: World) -> None:
    """Guards against a failover that needs the store, and against terms that are never renewed."""
    world.store.faults.tables_down = True
    old = primary(world)
    world.group.crash(old)
    world.run(1.0)
    assert primary(world) != old
    world.run(2.0)
    top = world.group.status(primary(world)).term
    before = {vm: list(c.tables.terms["g"].terms) for vm, c in world.controllers.items()}
    assert min(len(t) for t in before.values()) < 2
    world.store.faults.tables_down = False
    world.run(2.0)
    held = [c.tables.terms["g"].terms for c in world.controllers.values()]
    assert all(len(terms) == 2 and min(terms) > top for terms in held)
    assert len({t for terms in held for t in terms}) == 6


@pytest.mark.parametrize("sent", [True, False])
def test_lost_answer_of_the_store_is_resolved_by_reading(sent: bool) -> None:
    """Guards against a term that two controllers use, and against one that is never reserved."""
    world = World()
    world.tick("x0")
    reads = [i for i, (_, e) in enumerate(world.controllers["x0"].pending) if "Read" in str(e)]
    world.deliver("x0", reads[0])
    last = len(world.controllers["x0"].pending) - 1
    world.deliver("x0", last, sent=sent, answered=False)
    assert world.controllers["x0"].tables.terms["g"].terms == []
    world.run(1.5)
    held = [c.tables.terms["g"].terms for c in world.controllers.values()]
    assert len({t for terms in held for t in terms}) == 6
    row = world.store.read("terms", "g").unwrap()
    assert row is not None
    assert len({t for _, *terms in row.value["reservations"] for t in terms}) >= 6


@pytest.mark.parametrize("steps", range(12))
def test_paused_promoter_is_harmless(world: World, steps: int) -> None:
    """Guards against a promoter that resumes between any two steps and undoes a later promotion."""
    world.group.crash(primary(world))
    world.run(0.5)
    paused = world.controllers["x0"]
    while not paused.tables.promotions:
        world.tick("x0")
        world.tick("x1")
        for vm in ("x1", "x0"):
            if not paused.tables.promotions:
                world.deliver_all(vm)
        world.group.now += 0.01
    for _ in range(steps):
        if paused.pending:
            world.deliver("x0")
    paused.up = False
    world.run(7.0)
    top = world.group.status(primary(world))
    paused.up = True
    world.run(3.0)
    after = world.group.status(primary(world))
    assert (after.name, after.term) == (top.name, top.term)
    assert len({t.term for t in world.group.primaries()}) == len(world.group.primaries())


def test_two_promoters_at_once_leave_one_primary(world: World) -> None:
    """Guards against two promotions that both succeed or both fail for good."""
    world.group.crash(primary(world))
    for controller in world.controllers.values():
        controller.row.rank = 0
    world.run(1.2)
    assert len(set(world.started_terms)) == len(world.started_terms)
    alive = [t for t in world.group.targets.values() if t.up]
    assert [t.role for t in alive].count("primary") == 1
    assert len({t.term for t in alive}) == 1


def test_no_flapping(world: World) -> None:
    """Guards against promotions in quick succession, and against a returning old primary."""
    old = primary(world)
    world.group.crash(old)
    world.run(2.0)
    world.group.restart(old)
    world.run(5.0)
    assert started(world) == 2
    assert world.group.status(old).matched
    for _ in range(12):
        found = primary(world)
        world.group.crash(found)
        world.run(4.0)
        world.group.restart(found)
        world.run(3.0)
    times = sorted(t for t in world.controllers["x0"].row.attempts)
    assert all(later - earlier >= 5.0 for earlier, later in zip(times, times[1:], strict=False))
    assert started(world) <= 7


def test_resumed_controller_does_not_trust_old_probes(world: World) -> None:
    """Guards against a paused controller that takes all primaries for lost when it resumes."""
    world.controllers["x0"].up = world.controllers["x1"].up = False
    world.run(5.0)
    world.controllers["x0"].up = world.controllers["x1"].up = True
    world.run(1.0)
    assert started(world) == 1
    assert not events(world, "primary-lost")


def test_minority_does_not_promote(world: World) -> None:
    """Guards against fencing the only target that is left."""
    old = primary(world)
    other = next(n for n in "abc" if n != old)
    world.group.crash(old)
    world.group.crash(other)
    world.run(3.0)
    assert started(world) == 1


def test_leaving_primary_hands_over_and_loses_its_vote(world: World) -> None:
    """Guards against a leaving target that stays primary or voter."""
    old = primary(world)
    found = [target(n) for n in "abc" if n != old]
    world.set_targets(*found, attrs.evolve(target(old), state=TargetState.LEAVING))
    world.run(1.0)
    assert primary(world) != old
    assert set(world.group.status(primary(world)).voters) == set("abc") - {old}
    assert started(world) == 2


def test_leaving_by_the_platform_keeps_the_primary_of_others(world: World) -> None:
    """Guards against a leaving replica that costs more than one promotion or moves the primary."""
    stays = primary(world)
    gone = next(n for n in "cba" if n != stays)
    for controller in world.controllers.values():
        controller.tables.leaving = frozenset({gone})
    world.run(7.0)
    assert primary(world) == stays
    assert gone not in world.group.status(stays).voters
    assert started(world) == 2


def test_wrong_live_list_keeps_two_voters(world: World) -> None:
    """Guards against a live list that names all targets as leaving."""
    for controller in world.controllers.values():
        controller.tables.leaving = frozenset("abc")
    world.run(15.0)
    assert started(world) == 1


def test_joining_target_catches_up_before_it_votes(world: World) -> None:
    """Guards against a voter that holds nothing, and a target that is never told to follow."""
    name = primary(world)
    for _ in range(200):
        world.group.write("w", name, "w")
    world.group.targets["d"] = FakeTarget("d")
    world.group.cut("d", name)
    world.set_targets(*map(target, "abc"), attrs.evolve(target("d"), state=TargetState.JOINING))
    world.run(2.0)
    assert world.group.targets["d"].primary == name
    assert started(world) == 1
    world.group.heal()
    world.run(2.0)
    newest = world.group.status(primary(world))
    assert (newest.name, set(newest.voters)) == (name, set("abcd"))
    assert started(world) == 2


def test_new_group_waits_for_all_targets() -> None:
    """Guards against a first promotion that overlooks a target with a history."""
    world = World()
    world.group.crash("a")
    world.run(3.0)
    assert not world.started_terms
    world.group.restart("a")
    world.run(1.0)
    assert len(world.group.primaries()) == 1


def report(world: World, *vms: str) -> None:
    """Lets pools report the present primary every 100 ms for two seconds."""
    for controller in world.controllers.values():
        controller.row.pools = ("p0", "p1")
    for _ in range(20):
        for controller in world.controllers.values():
            term = controller.row.top_term
            for vm in vms:
                message = PrimaryReport(controller.row.name, term)
                detection.note_report(controller.tables, vm, message, world.now)
        world.run(0.1)


def test_primary_that_no_pool_reaches_is_replaced(world: World) -> None:
    """Guards against a group without writes because only its pools are cut off the primary."""
    old = primary(world)
    report(world, "p0", "p1")
    assert primary(world) != old
    assert started(world) == 2


def test_one_pool_that_is_cut_off_changes_nothing(world: World) -> None:
    """Guards against a promotion because of a pool that is cut off itself."""
    old = primary(world)
    report(world, "p0")
    world.run(1.0)
    report(world, "p1", "stranger")
    assert primary(world) == old
    assert started(world) == 1
