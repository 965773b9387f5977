"""Detection, promotion, terms and membership over a fake group, with all controllers working."""

import pytest

from tests.fakes.controllers import World


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
