"""When the primary of a group is replaced, and by which target."""

import enum
import math

import attrs

from siskindale.proxy.tables import Group, Target

# A VM that is itself partitioned must not replace a primary that the others reach.
MIN_REPORTERS = 2
REPORTER_SHARE = 0.3
# A refused connection shows that the process has ended; without any answer, the cause may be a
# short network partition.
REFUSED_CONFIRM_S = 0.0
SILENT_CONFIRM_S = 0.1
# Without a peer to confirm it, connections must be refused for longer than the process takes to
# restart.
SINGLE_VM_CONFIRM_S = 0.5
# Gives the targets of a group without a known primary time to register.
ABSENT_CONFIRM_S = 1.5
# The holder of the failover duty acts first; if it does not, the other VMs do in order of rank.
TAKEOVER_DELAY_S = 0.5
TAKEOVER_DELAY_PER_RANK_S = 0.3
CALL_TIMEOUT_S = 0.15
CALL_TIMEOUT_GROWTH = 1.4
CALL_TIMEOUT_MAX_S = 0.6


class Reason(enum.Enum):
    """Reason to replace a primary."""

    LOST = "lost"
    LEAVING = "leaving"
    ABSENT = "absent"


@attrs.frozen
class LossReports:
    """Numbers of live VMs and of those that cannot reach the primary, this one included.

    `refused` counts the VMs whose connections were refused.
    """

    live_vms: int
    lost: int
    refused: int


@attrs.frozen
class UnansweredPromotion:
    """A call to promote a target that got no answer; it may still take effect seconds later."""

    target: str
    fencing_token: int


def could_override(unanswered: UnansweredPromotion, successor: Target, fencing_token: int) -> bool:
    """Returns whether the delayed call could replace `successor` after its promotion.

    The platform refuses the delayed call once it has seen a newer fencing token.
    """
    return unanswered.target != successor.id and fencing_token <= unanswered.fencing_token


def reason_to_replace(
    group: Group, reports: LossReports, absent_since: float | None, now: float
) -> Reason | None:
    """Returns why the primary of a group must be replaced now, or None."""
    primary = group.primary
    if primary is None:
        absent = absent_since is not None and now - absent_since >= ABSENT_CONFIRM_S
        return Reason.ABSENT if absent else None
    if primary.leaving:
        return Reason.LEAVING
    return Reason.LOST if _loss_confirmed(group, reports, now) else None


def _loss_confirmed(group: Group, reports: LossReports, now: float) -> bool:
    lost_since = group.leadership.lost_since
    lost_for = now - lost_since if lost_since is not None else 0.0
    if reports.refused >= MIN_REPORTERS:
        return lost_for >= REFUSED_CONFIRM_S
    if lost_since is not None and group.leadership.connection_refused and reports.live_vms == 1:
        return lost_for >= SINGLE_VM_CONFIRM_S
    needed = max(MIN_REPORTERS, math.ceil(REPORTER_SHARE * reports.live_vms))
    if reports.lost < min(needed, reports.live_vms):
        return False
    return lost_since is None or lost_for >= SILENT_CONFIRM_S


def may_order_promotion(
    holds_duty: bool, rank: int, reason_since: float, peer_ordered_at: float, now: float
) -> bool:
    """Returns whether this VM may order a promotion now.

    A VM that does not hold the duty first waits for its takeover delay, counted from `reason_since`
    or from the last order of a peer. Otherwise VMs would take the duty from each other while their
    calls are in progress, and each newer token makes the platform refuse the call before it.
    """
    return holds_duty or now - max(reason_since, peer_ordered_at) >= takeover_delay(rank)


def promotion_call_timeout(attempt: int) -> float:
    """Returns the timeout of a call that orders a promotion, in seconds.

    The platform answers within 30 ms or not at all, unless it is slow as a whole. For that case the
    timeout grows with each attempt.
    """
    return min(CALL_TIMEOUT_MAX_S, CALL_TIMEOUT_S * CALL_TIMEOUT_GROWTH**attempt)


def takeover_delay(rank: int) -> float:
    """Returns how long a VM of this rank waits for the holder of the duty to act, in seconds."""
    return TAKEOVER_DELAY_S + rank * TAKEOVER_DELAY_PER_RANK_S
