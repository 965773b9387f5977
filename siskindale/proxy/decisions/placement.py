"""Choice of a target for a statement.

Balances the load by latency, lag, failures, failure domain and the statements of this VM that are
already in flight at a target, which may have few slots.
"""

from collections.abc import Iterable
from random import Random

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.proxy.decisions import balancing, lag
from siskindale.proxy.tables import INITIAL_LATENCY_S, Group, Need, Target

# A round trip to another failure domain takes 3 ms and its traffic is expensive, so a statement
# rather waits for up to about two others in its own failure domain.
REMOTE_PENALTY_S = 0.02
# Favours replicas for reads that they can serve, because only the primary can serve writes.
PRIMARY_PENALTY_S = 0.008
# Opening a connection takes a slot for 12 ms and may close one that another workspace needs.
UNBOUND_PENALTY_S = 0.015
RENDEZVOUS_RANGE = 1 << 64
# The measured latency of a target decays to the initial estimate, so that a slow target is tried
# again.
LATENCY_HALF_LIFE_S = 2.0
LATENCY_SAMPLE_WEIGHT = 0.2
# A statement that fails is repeated elsewhere, or by its client, which takes several times as long
# as a statement. The estimate decays, so that a few statements find out when the target recovers.
FAILURE_COST_S = 0.3
FAILURE_SAMPLE_WEIGHT = 0.15
FAILURE_HALF_LIFE_S = 2.0
ATTEMPT_TIMEOUT_FACTOR = 8.0
ATTEMPT_TIMEOUT_MIN_S = 0.12
ATTEMPT_TIMEOUT_MAX_S = 0.4
# A draining primary serves until its successor takes over, but stops this long before the end of
# the drain period.
DRAIN_END_MARGIN_S = 0.5


def candidates(
    group: Group,
    need: Need,
    excluded: Iterable[str],
    own_domain: str,
    now: float,
    drain_s: float,
    random: Random,
) -> list[Target]:
    """Returns the targets that may run a statement, best first.

    Replicas that lack the required log position are left out while there is any other target.
    """
    usable = [
        target
        for target in group.targets.values()
        if target.id not in excluded and _may_run(group, target, need, now, drain_s)
    ]
    current = [
        target for target in usable if lag.may_have_position(group, target, need.min_position, now)
    ]
    return sorted(
        current or usable,
        key=lambda target: (
            _cost(group, target, own_domain, now, random) + _affinity_cost(target, need.workspace)
        ),
    )


def _may_run(group: Group, target: Target, need: Need, now: float, drain_s: float) -> bool:
    is_primary = target.id == group.leadership.primary_id
    if target.closed or now < target.avoid_until:
        return False
    if target.leaving:
        since = target.draining_since or 0.0
        return is_primary and now < since + drain_s - DRAIN_END_MARGIN_S
    return is_primary or not need.primary_only


def _cost(group: Group, target: Target, own_domain: str, now: float, random: Random) -> float:
    cost = _expected_time(target, now, random) + _failure_share(target, now) * FAILURE_COST_S
    if target.entry.failure_domain != own_domain:
        cost += REMOTE_PENALTY_S
    if target.id == group.leadership.primary_id:
        cost += PRIMARY_PENALTY_S
    return cost


def _expected_time(target: Target, now: float, random: Random) -> float:
    """Returns the expected time of a statement; owners that know of each other count their load."""
    latency_s = expected_latency(target, now)
    if not target.reported_loads:
        return latency_s * (1 + target.in_flight)
    own_average = target.average_load.at(target.running_count, now)
    others = balancing.others_running(target.reported_loads, own_average, now)
    slots = target.entry.slots
    service_s = balancing.service_time(latency_s, own_average + others, slots)
    load = balancing.TargetLoad(target.running_count, others)
    return balancing.expected_time(service_s, load, slots, random)


def _affinity_cost(target: Target, workspace: str) -> float:
    """Returns what it costs that a workspace has no connection to a target yet."""
    if not workspace or target.connections_of(workspace):
        return 0.0
    share = rendezvous_score(workspace, target.id) / RENDEZVOUS_RANGE
    return UNBOUND_PENALTY_S * (1 + share)


def expected_latency(target: Target, now: float) -> float:
    """Returns the expected duration of a statement in seconds."""
    decay = 0.5 ** max(0.0, (now - target.latency_measured_at) / LATENCY_HALF_LIFE_S)
    return INITIAL_LATENCY_S + (target.latency_s - INITIAL_LATENCY_S) * decay


def read_attempt_timeout(target: Target, now: float) -> float:
    """Returns after how many seconds without a reply a read is repeated at another target.

    Replies may be lost, and reads are safe to repeat. A slow target gets more time, because
    repeating reads under load would only increase the load.
    """
    timeout_s = ATTEMPT_TIMEOUT_FACTOR * expected_latency(target, now)
    return min(ATTEMPT_TIMEOUT_MAX_S, max(ATTEMPT_TIMEOUT_MIN_S, timeout_s))


def note_result(target: Target, failed: bool, now: float) -> None:
    """Records whether a statement failed, or broke its connection, through its target.

    A target may answer health checks and probes while it fails statements.
    """
    known = _failure_share(target, now)
    target.failure_share = known + FAILURE_SAMPLE_WEIGHT * (failed - known)
    target.failure_noted_at = now


def note_broken_exchange(target: Target, duration_s: float, timed_out: bool, now: float) -> None:
    """Records an exchange without a complete reply.

    A timeout counts as a latency, because an overloaded target is slow and need not be faulty; a
    broken connection as a failure, because it would otherwise look fast.
    """
    if timed_out:
        note_latency(target, duration_s, now)
    else:
        note_result(target, failed=True, now=now)


def _failure_share(target: Target, now: float) -> float:
    decay = 0.5 ** ((now - target.failure_noted_at) / FAILURE_HALF_LIFE_S)
    return target.failure_share * decay


def note_latency(target: Target, duration_s: float, now: float) -> None:
    """Records the duration of a statement."""
    known = expected_latency(target, now)
    target.latency_s = known + LATENCY_SAMPLE_WEIGHT * (duration_s - known)
    target.latency_measured_at = now
