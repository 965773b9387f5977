"""Tests that the fake group follows the target rules that the simulations rely on."""

from returns.result import Failure

from siskindale.models.group import LogPosition, Role
from tests.fakes.group import FakeGroup, bundle_target


def promote(group: FakeGroup, term: int, name: str, follower_names: str) -> None:
    for each in (name, *follower_names):
        group.control_client("x", each).fence(term).unwrap()
    group.control_client("x", name).promote(term, tuple("abc")).unwrap()
    for each in follower_names:
        group.control_client("x", each).follow(term, bundle_target(name)).unwrap()


def test_follower_truncates_where_logs_diverge() -> None:
    """Guards against entries of a replaced primary that survive on a replica."""
    group = FakeGroup()
    promote(group, 1, "a", "bc")
    group.replicate_all()
    group.write("x", "a", "lost").unwrap()
    promote(group, 2, "b", "c")
    group.write("x", "b", "kept").unwrap()
    group.control_client("x", "a").follow(2, bundle_target("b")).unwrap()
    assert not group.status("a").matched
    group.replicate_all()
    assert group.read("x", "a").unwrap() == ["kept"]
    assert group.status("a").matched
    assert group.status("c").previous_voters == tuple("abc")


def test_fenced_target_accepts_no_writes_or_entries() -> None:
    """Guards against a fenced target that accepts writes or entries of an older term."""
    group = FakeGroup()
    promote(group, 1, "a", "bc")
    group.control_client("x", "b").fence(2).unwrap()
    group.replicate_all()
    assert group.status("b").log == LogPosition()
    assert isinstance(group.control_client("x", "b").fence(2), Failure)
    assert isinstance(group.control_client("x", "b").promote(1, ("b",)), Failure)
    assert isinstance(group.write("x", "b", "w"), Failure)
    assert group.status("b").role is Role.FENCED


def test_cut_paused_or_crashed_target_is_unreachable() -> None:
    """Guards against an injected fault without effect."""
    group = FakeGroup()
    promote(group, 1, "a", "bc")
    group.cut("x", "a")
    assert isinstance(group.control_client("x", "a").status(), Failure)
    group.heal()
    group.targets["a"].paused = True
    assert group.ship("b") == 0
    group.targets["a"].paused = False
    group.crash("a")
    assert group.ship("b") == 0
    group.restart("a")
    group.replicate_all()
    assert group.status("b").log == LogPosition(1, 1)
