"""When a replica is asked again for a position that its log lacked.

Answers replicas that fall seconds behind: each read that is sent there only to be refused costs its
client a round trip and the replica a request, and all reads of a VM would try.
"""

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions.freshness import Freshness
from siskindale.proxy.tables import Group, Target

# A replica that is a little behind has the position after one delivery from its primary.
RECHECK_MIN_S = 0.02
# One that has fallen far behind may catch up at once, and reads should return to it soon.
RECHECK_MAX_S = 0.5


def note_lagging(
    target: Target, freshness: Freshness, lacked: LogPosition, held: LogPosition | None, now: float
) -> None:
    """Records that the log of a target ended at `held` when a read needed `lacked`."""
    target.lacks = lacked
    target.lacks_until = now + recheck_after(freshness, held, now)


def recheck_after(freshness: Freshness, held: LogPosition | None, now: float) -> float:
    """Returns in how many seconds to ask again: as long as the log is behind, within limits."""
    behind = RECHECK_MAX_S
    if held is not None:
        reached = (s.taken_at for s in reversed(freshness.samples) if s.position <= held)
        behind = now - next(reached, now - RECHECK_MAX_S)
    return min(RECHECK_MAX_S, max(RECHECK_MIN_S, behind))


def may_serve(group: Group, target: Target, minimum: LogPosition | None, now: float) -> bool:
    """Tells whether the log of a target may have the position that a read needs."""
    if minimum is None or target.lacks is None or minimum < target.lacks:
        return True
    if target is group.primary:
        return True
    return now >= target.lacks_until
