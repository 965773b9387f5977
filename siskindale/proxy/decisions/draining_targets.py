"""Since when targets are draining, as the VMs tell each other.

A VM that starts while a target drains finds only the fact in the store, not its time. It must not
count the drain period from its own start.
"""

from collections.abc import Iterable, Mapping

from siskindale.models.catalog import RegistrationState
from siskindale.models.gossip import MAX_DRAIN_AGE_S, DrainingTarget
from siskindale.proxy.tables import Group


def report(groups: Mapping[str, Group], now: float) -> tuple[DrainingTarget, ...]:
    """Returns the targets that this VM has seen before they drained, and their time since then."""
    return tuple(
        DrainingTarget(
            group.name,
            target.id,
            target.entry.started_ms,
            min(now - target.draining_since, MAX_DRAIN_AGE_S),
        )
        for group in groups.values()
        for target in group.targets.values()
        if target.draining_since is not None and target.drain_observed
    )


def adopt(groups: Mapping[str, Group], reports: Iterable[DrainingTarget], now: float) -> None:
    """Moves the start of drain periods back, of targets that were draining when this VM started.

    What this VM has seen itself stays: peers read the registrations at other times, and the
    earliest of their bounds would end each drain period early.
    """
    for told in reports:
        group = groups.get(told.group)
        target = group.targets.get(told.target) if group is not None else None
        if target is None or target.entry.started_ms != told.started_ms:
            continue
        if target.draining_since is None or target.drain_observed:
            continue
        if target.entry.state is RegistrationState.DRAINING:
            target.draining_since = min(target.draining_since, now - told.age_s)
