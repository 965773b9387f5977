"""When the primary of a group is replaced, and by which target."""

import enum
import math
from collections.abc import Mapping, Sequence

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


def takeover_delay(rank: int) -> float:
    """Returns how long a VM that does not hold the duty waits for the holder, in seconds."""
    return TAKEOVER_DELAY_S + rank * TAKEOVER_STEP_S


def choose_successor(
    group: Group, received: Mapping[str, LogPosition], excluded: Sequence[str]
) -> Target | None:
    """Returns the ready target with the most complete log; the others lose what they lack."""
    ready = [
        target
        for target in group.targets.values()
        if not target.leaving
        and target.id in received
        and target.id not in excluded
        and target.id != group.leadership.target
    ]
    return max(ready, key=lambda target: (received[target.id], target.id), default=None)
