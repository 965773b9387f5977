"""When a primary is replaced, and by which target."""

import attrs
import pytest

from siskindale.models.catalog import RegistrationState
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
    primary.entry = attrs.evolve(primary.entry, state=RegistrationState.DRAINING)
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
    successors = failover.rank_successors(group, received)
    assert [target.id for target in successors] == ["c", "b"]


@pytest.mark.parametrize("leaving", ["b", "c"])
def test_targets_that_leave_or_do_not_answer_are_not_chosen(group: Group, leaving: str) -> None:
    """Guards against the promotion of a target that is about to end or does not run."""
    target = group.targets[leaving]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    assert failover.rank_successors(group, {leaving: LogPosition(1, 9)}) == []
    assert failover.rank_successors(group, {}) == []


def test_vms_take_over_one_after_the_other() -> None:
    """Guards against two VMs that take the duty at the same moment."""
    delays = [failover.takeover_delay(rank) for rank in range(3)]
    assert delays == sorted(set(delays))


def test_a_vm_does_not_take_the_duty_while_another_acts() -> None:
    """Guards against VMs that take the duty from each other while their calls are under way.

    Seen on deploy/days/late-orders.toml: seven VMs took it in turn for over a second, and each new
    token made the platform refuse the call before.
    """
    assert failover.may_act(False, 0, reason_since=1.0, acted_at=0.0, now=2.0)
    assert not failover.may_act(False, 0, reason_since=1.0, acted_at=1.9, now=2.0)
    assert failover.may_act(True, 0, reason_since=1.0, acted_at=1.9, now=2.0)


def test_another_target_needs_a_newer_token_than_an_unanswered_call(group: Group) -> None:
    """Guards against a late call that replaces the primary that was promoted after it."""
    unsettled = failover.UnsettledCall("b", 5)
    assert failover.conflicts(unsettled, group.targets["c"], 5)
    assert not failover.conflicts(unsettled, group.targets["c"], 6)
    assert not failover.conflicts(unsettled, group.targets["b"], 5)


def test_an_unanswered_call_is_given_up_soon_and_later_with_more_patience() -> None:
    """Guards against half a second lost with each lost answer, and against a slow platform."""
    timeouts = [failover.call_timeout(attempt) for attempt in range(6)]
    assert timeouts[0] <= 0.2
    assert timeouts == sorted(timeouts)
    assert timeouts[-1] == failover.CALL_TIMEOUT_MAX_S
