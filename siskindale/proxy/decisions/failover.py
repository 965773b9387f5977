"""When the primary of a group is replaced, and by which target."""

import enum
import math
from collections.abc import Mapping

import attrs

from siskindale.models.group import LogPosition
from siskindale.proxy.tables import Group, Target

# A VM that is cut off itself must not replace a primary that the others reach.
MIN_REPORTERS = 2
REPORTER_SHARE = 0.3
# A refused connection shows that the process has ended; silence may be a short cut of the network.
REFUSED_CONFIRM_S = 0.0
SILENT_CONFIRM_S = 0.1
# Without a peer that confirms it, a refusal must last longer than a restart of the process.
ALONE_CONFIRM_S = 0.5
# A group without any known primary gets one after the targets had time to register.
ABSENT_CONFIRM_S = 1.5
# The holder of the duty acts first, the others in order of rank if it does not.
TAKEOVER_DELAY_S = 0.5
TAKEOVER_STEP_S = 0.3
CALL_TIMEOUT_S = 0.15
CALL_TIMEOUT_GROWTH = 1.4
CALL_TIMEOUT_MAX_S = 0.6


class Reason(enum.Enum):
    """Why a primary is replaced."""

    LOST = "lost"
    LEAVING = "leaving"
    ABSENT = "absent"


@attrs.frozen
class Reports:
    """How many VMs live and how many of them do not reach the primary, this one included."""

    vms: int
    lost: int
    refused: int


@attrs.frozen
class UnsettledCall:
    """A call without an answer, which may still be carried out seconds later."""

    target: str
    fencing_token: int


def conflicts(unsettled: UnsettledCall, successor: Target, fencing_token: int) -> bool:
    """Tells whether a late call could replace `successor` after its promotion.

    Under a newer token the platform refuses the late call.
    """
    return unsettled.target != successor.id and fencing_token <= unsettled.fencing_token


def reason_to_replace(
    group: Group, reports: Reports, absent_since: float | None, now: float
) -> Reason | None:
    """Returns why the primary of a group has to be replaced now, None if it has not."""
    primary = group.primary
    if primary is None:
        absent = absent_since is not None and now - absent_since >= ABSENT_CONFIRM_S
        return Reason.ABSENT if absent else None
    if primary.leaving:
        return Reason.LEAVING
    return Reason.LOST if _confirmed(group, reports, now) else None


def _confirmed(group: Group, reports: Reports, now: float) -> bool:
    since = group.leadership.lost_since
    lasted = now - since if since is not None else 0.0
    if reports.refused >= MIN_REPORTERS:
        return lasted >= REFUSED_CONFIRM_S
    if since is not None and group.leadership.refused and reports.vms == 1:
        return lasted >= ALONE_CONFIRM_S
    needed = max(MIN_REPORTERS, math.ceil(REPORTER_SHARE * reports.vms))
    if reports.lost < min(needed, reports.vms):
        return False
    return since is None or lasted >= SILENT_CONFIRM_S


def may_act(holds_duty: bool, rank: int, reason_since: float, acted_at: float, now: float) -> bool:
    """Tells whether this VM may order a promotion now.

    One that does not hold the duty waits since the reason came up and since any VM acted last.
    Otherwise VMs take the duty from each other while their calls are under way, and each newer
    token makes the platform refuse the call before.
    """
    return holds_duty or now - max(reason_since, acted_at) >= takeover_delay(rank)


def call_timeout(attempt: int) -> float:
    """Returns how long to wait for the answer to a call that orders a promotion, in seconds.

    The platform answers within 30 ms or not at all, but it may be slow as a whole.
    """
    return min(CALL_TIMEOUT_MAX_S, CALL_TIMEOUT_S * CALL_TIMEOUT_GROWTH**attempt)


def takeover_delay(rank: int) -> float:
    """Returns how long a VM that does not hold the duty waits for the holder, in seconds."""
    return TAKEOVER_DELAY_S + rank * TAKEOVER_STEP_S


def rank_successors(group: Group, received: Mapping[str, LogPosition]) -> list[Target]:
    """Returns ready targets by how complete their logs are; a promotion loses what a log lacks."""
    ready = [
        target
        for target in group.targets.values()
        if not target.leaving and target.id in received and target.id != group.leadership.target
    ]
    return sorted(ready, key=lambda target: (received[target.id], target.id), reverse=True)
