"""The fake group keeps the rules of targets that the state machines depend on."""

from returns.result import Failure

from siskindale.models.group import LogPosition, Role
from tests.fakes.group import FakeGroup, target


def promote(group: FakeGroup, term: int, name: str, followers: str) -> None:
    for each in (name, *followers):
        group.client("x", each).fence(term).unwrap()
    group.client("x", name).promote(term, tuple("abc")).unwrap()
    for each in followers:
        group.client("x", each).follow(term, target(name)).unwrap()


def test_follower_truncates_where_logs_diverge() -> None:
    """Guards against a replaced primary's entries surviving in a follower."""
    group = FakeGroup()
    promote(group, 1, "a", "bc")
    group.settle()
    group.write("x", "a", "lost").unwrap()
    promote(group, 2, "b", "c")
    group.write("x", "b", "kept").unwrap()
    group.client("x", "a").follow(2, target("b")).unwrap()
    assert not group.status("a").matched
    group.settle()
    assert group.read("x", "a").unwrap() == ["kept"]
    assert group.status("a").matched
    assert group.status("c").previous_voters == tuple("abc")


def test_fenced_target_takes_and_ships_nothing() -> None:
    """Guards against a fenced target that still accepts writes or entries of an older term."""
    group = FakeGroup()
    promote(group, 1, "a", "bc")
    group.client("x", "b").fence(2).unwrap()
    group.settle()
    assert group.status("b").log == LogPosition()
    assert isinstance(group.client("x", "b").fence(2), Failure)
    assert isinstance(group.client("x", "b").promote(1, ("b",)), Failure)
    assert isinstance(group.write("x", "b", "w"), Failure)
    assert group.status("b").role is Role.FENCED


def test_cut_pause_and_crash_hide_a_target() -> None:
    """Guards against a fault that the fake does not carry out."""
    group = FakeGroup()
    promote(group, 1, "a", "bc")
    group.cut("x", "a")
    assert isinstance(group.client("x", "a").status(), Failure)
    group.heal()
    group.targets["a"].paused = True
    assert group.ship("b") == 0
    group.targets["a"].paused = False
    group.crash("a")
    assert group.ship("b") == 0
    group.restart("a")
    group.settle()
    assert group.status("b").log == LogPosition(1, 1)
