"""When a primary is replaced, and by which target."""

import attrs
import pytest

from siskindale.models.catalog import TargetState
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import failover, leadership
from siskindale.proxy.decisions.failover import Reason, Reports
from siskindale.proxy.tables import Group

VMS = 7


def lose(group: Group, since: float, refused: bool) -> None:
    leadership.note_unreachable(group, group.targets["a"], since, refused)


def test_a_primary_that_is_reached_is_kept(group: Group) -> None:
    """Guards against a promotion without a loss."""
    assert failover.reason_to_replace(group, Reports(VMS, 0, 0), None, 10.0) is None


def test_one_vm_alone_does_not_replace_a_silent_primary(group: Group) -> None:
    """Guards against a VM that is cut off itself and demotes a primary that others use."""
    lose(group, 1.0, refused=False)
    assert failover.reason_to_replace(group, Reports(VMS, 1, 0), None, 60.0) is None


def test_refused_connections_of_two_vms_replace_it_at_once(group: Group) -> None:
    """Guards against waiting out a time limit when the process has ended for certain."""
    lose(group, 10.0, refused=True)
    assert failover.reason_to_replace(group, Reports(VMS, 2, 2), None, 10.0) is Reason.LOST


def test_silence_seen_by_a_third_of_the_vms_replaces_it(group: Group) -> None:
    """Guards against a dark primary that stays in use."""
    lose(group, 10.0, refused=False)
    reports = Reports(VMS, 3, 0)
    later = 10.01 + failover.SILENT_CONFIRM_S
    assert failover.reason_to_replace(group, reports, None, 10.0) is None
    assert failover.reason_to_replace(group, reports, None, later) is Reason.LOST


def test_a_holder_that_reaches_the_primary_acts_for_the_others(group: Group) -> None:
    """Guards against a primary that a third of the VMs cannot use for as long as a cut lasts."""
    assert failover.reason_to_replace(group, Reports(VMS, 3, 0), None, 10.0) is Reason.LOST


def test_a_leaving_primary_is_replaced(group: Group) -> None:
    """Guards against a planned shutdown that ends as an unplanned one."""
    primary = group.targets["a"]
    primary.entry = attrs.evolve(primary.entry, state=TargetState.DRAINING)
    assert failover.reason_to_replace(group, Reports(VMS, 0, 0), None, 10.0) is Reason.LEAVING


def test_a_group_without_a_primary_gets_one_after_a_while(group: Group) -> None:
    """Guards against a group that stays without a primary, and against a hasty choice."""
    group.leadership.target = ""
    none = Reports(VMS, 0, 0)
    assert failover.reason_to_replace(group, none, 10.0, 10.1) is None
    assert failover.reason_to_replace(group, none, 10.0, 12.0) is Reason.ABSENT


def test_the_most_complete_log_is_chosen(group: Group) -> None:
    """Guards against a promotion that rolls back more commits than it must."""
    received = {"b": LogPosition(1, 9), "c": LogPosition(1, 10), "a": LogPosition(1, 99)}
    successor = failover.choose_successor(group, received, ())
    assert successor is not None
    assert successor.id == "c"


@pytest.mark.parametrize("excluded", [("b", "c")])
def test_no_successor_is_better_than_a_wrong_one(group: Group, excluded: tuple[str, ...]) -> None:
    """Guards against the promotion of a target that is known not to run."""
    received = {"b": LogPosition(1, 9), "c": LogPosition(1, 10)}
    assert failover.choose_successor(group, received, excluded) is None


def test_vms_take_over_one_after_the_other() -> None:
    """Guards against two VMs that take the duty at the same moment."""
    delays = [failover.takeover_delay(rank) for rank in range(3)]
    assert delays == sorted(set(delays))
