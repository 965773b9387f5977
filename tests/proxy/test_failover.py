"""Tests of when a primary is replaced, and by which target."""

import attrs

from siskindale.models.catalog import RegistrationState
from siskindale.proxy.decisions import failover, leadership
from siskindale.proxy.decisions.failover import LossReports, Reason
from siskindale.proxy.tables import Group

VMS = 7


def mark_primary_lost(group: Group, since: float, refused: bool) -> None:
    leadership.note_unreachable(group, group.targets["a"], since, refused)


def test_a_reachable_primary_is_kept(group: Group) -> None:
    """Guards against a promotion without a lost primary."""
    assert failover.reason_to_replace(group, LossReports(VMS, 0, 0), None, 10.0) is None


def test_one_vm_alone_does_not_replace_a_silent_primary(group: Group) -> None:
    """Guards against a partitioned VM replacing a primary that the others reach."""
    mark_primary_lost(group, 1.0, refused=False)
    assert failover.reason_to_replace(group, LossReports(VMS, 1, 0), None, 60.0) is None


def test_refused_connections_of_two_vms_replace_it_at_once(group: Group) -> None:
    """Guards against waiting for a timeout although the process has certainly ended."""
    mark_primary_lost(group, 10.0, refused=True)
    assert failover.reason_to_replace(group, LossReports(VMS, 2, 2), None, 10.0) is Reason.LOST


def test_silence_seen_by_a_third_of_the_vms_replaces_it(group: Group) -> None:
    """Guards against keeping a primary that no longer answers."""
    mark_primary_lost(group, 10.0, refused=False)
    reports = LossReports(VMS, 3, 0)
    later = 10.01 + failover.SILENT_CONFIRM_S
    assert failover.reason_to_replace(group, reports, None, 10.0) is None
    assert failover.reason_to_replace(group, reports, None, later) is Reason.LOST


def test_a_vm_that_reaches_the_primary_acts_on_reports_of_peers(group: Group) -> None:
    """Guards against a third of the VMs having no primary for as long as a partition lasts."""
    assert failover.reason_to_replace(group, LossReports(VMS, 3, 0), None, 10.0) is Reason.LOST


def test_a_leaving_primary_is_replaced(group: Group) -> None:
    """Guards against a planned shutdown that interrupts service like an unplanned one."""
    primary = group.targets["a"]
    primary.entry = attrs.evolve(primary.entry, state=RegistrationState.DRAINING)
    assert failover.reason_to_replace(group, LossReports(VMS, 0, 0), None, 10.0) is Reason.LEAVING


def test_a_group_without_a_primary_gets_one_after_a_while(group: Group) -> None:
    """Guards against a group that stays without a primary, and against too early a choice."""
    group.leadership.primary_id = ""
    none = LossReports(VMS, 0, 0)
    assert failover.reason_to_replace(group, none, 10.0, 10.1) is None
    assert failover.reason_to_replace(group, none, 10.0, 12.0) is Reason.ABSENT


def test_vms_take_over_one_after_the_other() -> None:
    """Guards against two VMs taking the duty at the same time."""
    delays = [failover.takeover_delay(rank) for rank in range(3)]
    assert delays == sorted(set(delays))


def test_a_vm_does_not_take_the_duty_while_another_orders_a_promotion() -> None:
    """Guards against VMs taking the duty from each other while their calls are in progress.

    Seen with deploy/days/late-orders.toml: seven VMs took the duty in turn for over a second, and
    each new token made the platform refuse the call before it.
    """
    assert failover.may_order_promotion(False, 0, reason_since=1.0, peer_ordered_at=0.0, now=2.0)
    assert not failover.may_order_promotion(
        False, 0, reason_since=1.0, peer_ordered_at=1.9, now=2.0
    )
    assert failover.may_order_promotion(True, 0, reason_since=1.0, peer_ordered_at=1.9, now=2.0)


def test_another_target_needs_a_newer_token_than_an_unanswered_call(group: Group) -> None:
    """Guards against a delayed call replacing the primary that was promoted after it."""
    unanswered = failover.UnansweredPromotion("b", 5)
    assert failover.could_override(unanswered, group.targets["c"], 5)
    assert not failover.could_override(unanswered, group.targets["c"], 6)
    assert not failover.could_override(unanswered, group.targets["b"], 5)


def test_the_timeout_of_unanswered_calls_is_short_and_grows() -> None:
    """Guards against losing half a second per lost answer, and against a slow platform."""
    timeouts = [failover.promotion_call_timeout(attempt) for attempt in range(6)]
    assert timeouts[0] <= 0.2
    assert timeouts == sorted(timeouts)
    assert timeouts[-1] == failover.CALL_TIMEOUT_MAX_S
