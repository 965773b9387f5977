"""Acknowledgement: what a majority of the voters has confirmed in the group's term.

A write is released when a majority holds its position. A read at the primary also needs a majority
that answered in the term to requests sent after the read began; a replaced primary has none.
"""

import heapq
from itertools import chain

from siskindale.models.group import Role, majority
from siskindale.pool.effects import AskStatus, Effect, WaitPosition
from siskindale.pool.systems import timers
from siskindale.pool.tables import (
    GroupRow,
    Phase,
    RequestRow,
    Stage,
    Tables,
    TargetRow,
    TimerKind,
)

# One confirmation serves all reads of this time; more of them would cost more than the reads.
PROBE_SPACING_S = 0.002
WAIT_SPACING_S = 0.002
# After this time the other replicas are asked too.
HEDGE_S = 0.02
PROBE_TIMEOUT_S = 0.5
WAIT_TIMEOUT_S = 1.0
POSITION_ONLY = frozenset({Stage.WRITE, Stage.KEY_RECORD, Stage.COMMIT})


class Purpose:
    """Names of the confirmation channels of a replica."""

    WAIT = "wait"
    PROBE = "probe"


def submit(tables: Tables, request: RequestRow) -> bool:
    """Adds an answered batch to those that wait for a majority.

    Returns False if its term is over, or if its target was not the primary of its term: what a
    fenced target holds need not be in the log of the term's primary.
    """
    group, batch = request.group, request.batch
    assert batch is not None
    if batch.term < group.term or batch.role is not Role.PRIMARY:
        return False
    request.phase = Phase.CONFIRMING
    tables.touch(group)
    if batch.term > group.term:
        group.later_terms.append(request)
        return True
    if group.primary is not None and request.served_by == group.primary.name:
        note(group.primary, batch.at.position, request.since)
    if request.stage in POSITION_ONLY:
        _add_position(group, request)
    else:
        heapq.heappush(group.by_since, (request.since, request.number, request))
    return True


def note(target: TargetRow, position: int, sent_at: float) -> None:
    """Keeps what a target reported as matched in the group's term."""
    target.held = max(target.held, position)
    target.confirmed_at = max(target.confirmed_at, sent_at)


def evaluate(group: GroupRow) -> list[RequestRow]:
    """Returns the requests that a majority has confirmed, and removes them."""
    if not group.writable:
        return []
    count = majority(len(group.voters))
    group.durable = int(_nth(group, count, "held"))
    group.fresh_since = _nth(group, count, "confirmed_at")
    released = []
    while group.by_since and group.by_since[0][0] <= group.fresh_since:
        _, _, request = heapq.heappop(group.by_since)
        if request.phase is Phase.CONFIRMING:
            _add_position(group, request)
    while group.by_position and group.by_position[0][0] <= group.durable:
        _, _, request = heapq.heappop(group.by_position)
        if request.phase is Phase.CONFIRMING:
            released.append(request)
    return released


def marker_confirmed(group: GroupRow) -> bool:
    """Whether majorities of the voters and of the previous voters hold the term's marker."""
    return all(
        sum(_holds(group, name, group.marker) for name in voters) >= majority(len(voters))
        for voters in (group.voters, group.previous_voters or group.voters)
    )


def superseded(group: GroupRow) -> list[RequestRow]:
    """Removes and returns everything that waits for confirmation in this term or a later one.

    Requests that have ended meanwhile, at their deadline, must not be taken up again.
    """
    waiting = [entry[2] for entry in chain(group.by_since, group.by_position)]
    waiting += group.later_terms
    group.by_since.clear()
    group.by_position.clear()
    group.later_terms.clear()
    group.highest_pending = -1
    return [request for request in waiting if request.phase is Phase.CONFIRMING]


def confirmations(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Asks replicas for what is missing: one wait and one probe at a time for each."""
    if group.primary is None:
        return []
    _drop_ended(group)
    effects: list[Effect] = []
    for target in group.targets.values():
        if target is not group.primary and target.name in _concerned(group):
            effects += _wait(tables, group, target, now)
    return effects + _probes(tables, group, now)


def _concerned(group: GroupRow) -> tuple[str, ...]:
    return group.voters if group.writable else group.voters + group.previous_voters


def _drop_ended(group: GroupRow) -> None:
    while group.by_position and group.by_position[0][2].phase is not Phase.CONFIRMING:
        heapq.heappop(group.by_position)
    while group.by_since and group.by_since[0][2].phase is not Phase.CONFIRMING:
        heapq.heappop(group.by_since)


def _wait(tables: Tables, group: GroupRow, target: TargetRow, now: float) -> list[Effect]:
    position = _next_position(group, target)
    if position is None or target.waiting or _left(group, target):
        return []
    due = max(target.avoided_until, target.wait_sent_at + WAIT_SPACING_S)
    if now < due:
        _again(tables, group, due)
        return []
    target.waiting = True
    target.wait_sent_at = now
    return [WaitPosition(target, group.term, position, Purpose.WAIT, WAIT_TIMEOUT_S)]


def _next_position(group: GroupRow, target: TargetRow) -> int | None:
    if not group.writable:
        return group.marker if target.held < group.marker else None
    if not group.by_position:
        return None
    lowest = max(group.by_position[0][0], target.held + 1)
    return lowest if lowest <= group.highest_pending else None


def _probes(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    if not group.writable or group.read_sent_at <= group.fresh_since:
        return []
    replicas = [
        t for t in group.targets.values() if t is not group.primary and t.name in group.voters
    ]
    replicas.sort(key=lambda t: (t.failures > 0, t.distance, t.name))
    hedge = group.by_since[0][0] + HEDGE_S if group.by_since else now + HEDGE_S
    if now < hedge:
        replicas = replicas[: _needed_replicas(group)]
        _again(tables, group, hedge)
    return [effect for target in replicas for effect in _probe(tables, group, target, now)]


def _needed_replicas(group: GroupRow) -> int:
    primary_votes = group.primary is not None and group.primary.name in group.voters
    return majority(len(group.voters)) - primary_votes


def _probe(tables: Tables, group: GroupRow, target: TargetRow, now: float) -> list[Effect]:
    if target.probing or target.confirmed_at >= group.read_sent_at or _left(group, target):
        return []
    due = max(target.avoided_until, target.probe_sent_at + PROBE_SPACING_S)
    if now < due:
        _again(tables, group, due)
        return []
    target.probing = True
    target.probe_sent_at = now
    return [AskStatus(target, Purpose.PROBE, PROBE_TIMEOUT_S)]


def _left(group: GroupRow, target: TargetRow) -> bool:
    """Whether a target is in a newer term; it will not confirm the group's one again."""
    return target.status is not None and target.status.term > group.term


def _again(tables: Tables, group: GroupRow, due: float) -> None:
    """Schedules one look at the group; an earlier one that is scheduled already suffices."""
    if due < group.confirm_due:
        group.confirm_due = due
        timers.schedule(tables, due, TimerKind.CONFIRM, group)


def _add_position(group: GroupRow, request: RequestRow) -> None:
    assert request.batch is not None
    position = request.batch.at.position
    group.highest_pending = max(group.highest_pending, position)
    heapq.heappush(group.by_position, (position, request.number, request))


def _holds(group: GroupRow, name: str, position: int) -> bool:
    target = group.targets.get(name)
    return target is not None and target.held >= position


def _nth(group: GroupRow, count: int, field: str) -> float | int:
    """Returns the value that `count` voters have reached."""
    targets = (group.targets.get(name) for name in group.voters)
    values = sorted((getattr(t, field) if t else -1 for t in targets), reverse=True)
    return values[count - 1] if len(values) >= count else -1
