"""How long reads avoid a replica after its log lacked a position.

When a replica falls seconds behind, each read that it refuses costs the client a round trip and the
replica a request. Without this delay, every read of the VM would try it.
"""

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions.freshness import Freshness
from siskindale.proxy.tables import Group, Target

# A replica that is slightly behind has the position after the next delivery from its primary.
RECHECK_MIN_S = 0.02
# A replica that is far behind may catch up suddenly, and reads should then return to it soon.
RECHECK_MAX_S = 0.5


def note_lagging(
    target: Target, freshness: Freshness, lacked: LogPosition, held: LogPosition | None, now: float
) -> None:
    """Records that the log of a target ended at `held` when a read required `lacked`."""
    target.lacking_position = lacked
    target.lacking_until = now + recheck_delay(freshness, held, now)


def recheck_delay(freshness: Freshness, held: LogPosition | None, now: float) -> float:
    """Returns after how many seconds to try again: the lag of the log, within limits."""
    lag_s = RECHECK_MAX_S
    if held is not None:
        reached_at = (
            sample.taken_at for sample in reversed(freshness.samples) if sample.position <= held
        )
        lag_s = now - next(reached_at, now - RECHECK_MAX_S)
    return min(RECHECK_MAX_S, max(RECHECK_MIN_S, lag_s))


def may_have_position(
    group: Group, target: Target, minimum: LogPosition | None, now: float
) -> bool:
    """Returns whether the log of a target may have the position that a read requires."""
    if minimum is None or target.lacking_position is None or minimum < target.lacking_position:
        return True
    if target is group.primary:
        return True
    return now >= target.lacking_until
