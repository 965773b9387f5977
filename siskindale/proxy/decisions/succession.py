"""Which replica becomes the primary, by what the replicas know of the log.

A group with synchronous replicas acknowledges a commit once that many replicas have received it.
A successor is safe if each commit that was or will be acknowledged is in its log: of the other
replicas, fewer than `synchronous_replicas` may have received something that it lacks.
"""

from collections.abc import Mapping

import attrs

from siskindale.models.group import LogPosition
from siskindale.proxy.tables import Group, Target


@attrs.frozen
class ReplicaLog:
    """What a replica has told of its log.

    `received` is the end of its log, a lower bound unless `exact`. `newest_term` is the newest term
    it has heard of. With `stopped` it receives nothing more until a promotion. `leads` if it sees
    itself as the primary.
    """

    received: LogPosition
    newest_term: int = 0
    exact: bool = True
    stopped: bool = False
    leads: bool = False


def replicas(group: Group) -> list[Target]:
    """Returns the targets that may hold acknowledged commits, without the known primary.

    A leaving replica receives commits until it ends.
    """
    return [
        target
        for target in group.targets.values()
        if not target.closed and target.id != group.leadership.primary_id
    ]


def other_replicas(group: Group, successor: Target) -> list[Target]:
    """Returns the replicas besides a successor."""
    return [target for target in replicas(group) if target is not successor]


def rank_successors(group: Group, logs: Mapping[str, ReplicaLog]) -> list[Target]:
    """Returns the replicas that answered in order of preference, the most complete log first.

    A promotion loses the commits that the log of the new primary lacks, so a leaving replica goes
    first if it alone has commits that were acknowledged.
    """
    answered = [target for target in replicas(group) if target.id in logs]
    staying = [target for target in answered if not target.leaving]
    candidates = answered if group.limits.synchronous_replicas else staying
    return sorted(
        candidates,
        key=lambda target: (logs[target.id].received, not target.leaving, target.id),
        reverse=True,
    )


def enough_answered(group: Group, successor: Target, logs: Mapping[str, ReplicaLog]) -> bool:
    """Returns whether a successor can turn out to have all acknowledged commits.

    Otherwise stopping the other replicas would only hold up commits.
    """
    silent = [target for target in other_replicas(group, successor) if target.id not in logs]
    return len(silent) < max(1, group.limits.synchronous_replicas)


def may_lack_acknowledged(group: Group, successor: Target, logs: Mapping[str, ReplicaLog]) -> bool:
    """Returns whether a commit may be acknowledged, now or later, that a successor lacks."""
    synchronous = group.limits.synchronous_replicas
    if not synchronous:
        return False
    own = logs[successor.id].received
    ahead = [
        target
        for target in other_replicas(group, successor)
        if not _is_behind(logs.get(target.id), own)
    ]
    return len(ahead) >= synchronous


def _is_behind(log: ReplicaLog | None, position: LogPosition) -> bool:
    """Returns whether a replica certainly has nothing beyond a position, now and later."""
    return log is not None and log.exact and log.stopped and log.received <= position
