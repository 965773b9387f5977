"""Choice of a target for a statement.

Answers uneven load: slow targets, targets that lag, and statements of this VM that already wait at
a target with few slots.
"""

from collections.abc import Iterable

from siskindale.proxy.decisions import lag
from siskindale.proxy.tables import INITIAL_LATENCY_S, Group, Need, Target

# A round trip to another failure domain takes 3 ms and its bytes are dear, so a statement waits in
# its own one for up to about two others.
REMOTE_PENALTY_S = 0.02
# Keeps reads that a replica can serve away from the primary, which alone can serve writes.
PRIMARY_PENALTY_S = 0.008
# A slow target is tried again after its measured latency has faded to that of an unknown one.
LATENCY_HALF_LIFE_S = 2.0
LATENCY_WEIGHT = 0.2
REPEAT_FACTOR = 8.0
REPEAT_MIN_S = 0.12
REPEAT_MAX_S = 0.4
# A leaving primary serves until its successor leads, but not beyond the time that targets have.
LEAVING_MARGIN_S = 0.5


def candidates(
    group: Group, need: Need, excluded: Iterable[str], own_domain: str, now: float, drain_s: float
) -> list[Target]:
    """Returns the targets that may run a statement, best first.

    Replicas that lacked what the statement needs are left out while there is any other target.
    """
    fit = [
        target
        for target in group.targets.values()
        if target.id not in excluded and _fits(group, target, need, now, drain_s)
    ]
    current = [target for target in fit if lag.may_serve(group, target, need.minimum, now)]
    return sorted(current or fit, key=lambda target: _cost(group, target, own_domain, now))


def _fits(group: Group, target: Target, need: Need, now: float, drain_s: float) -> bool:
    is_primary = target.id == group.leadership.target
    if target.closed or now < target.avoid_until:
        return False
    if target.leaving:
        since = target.draining_since or 0.0
        return is_primary and now < since + drain_s - LEAVING_MARGIN_S
    return is_primary or not need.primary_only


def _cost(group: Group, target: Target, own_domain: str, now: float) -> float:
    cost = expected_latency(target, now) * (1 + target.in_flight)
    if target.entry.failure_domain != own_domain:
        cost += REMOTE_PENALTY_S
    if target.id == group.leadership.target:
        cost += PRIMARY_PENALTY_S
    return cost


def expected_latency(target: Target, now: float) -> float:
    """Returns the expected duration of a statement in seconds."""
    fade = 0.5 ** max(0.0, (now - target.measured_at) / LATENCY_HALF_LIFE_S)
    return INITIAL_LATENCY_S + (target.latency_s - INITIAL_LATENCY_S) * fade


def repeat_after(target: Target, now: float) -> float:
    """Returns after how many seconds without a reply a read is repeated at another target.

    Replies get lost, and a read can be repeated. A slow target gets more time, because a repetition
    under load would only add to it.
    """
    wanted = REPEAT_FACTOR * expected_latency(target, now)
    return min(REPEAT_MAX_S, max(REPEAT_MIN_S, wanted))


def note_latency(target: Target, duration_s: float, now: float) -> None:
    """Records the duration of a statement."""
    known = expected_latency(target, now)
    target.latency_s = known + LATENCY_WEIGHT * (duration_s - known)
    target.measured_at = now
