"""Acknowledgement: holds results back until a majority of the voters confirms them in the term.

A write is acknowledged when a majority holds its position. A read at the primary also needs a
majority that answered, in the same term, requests sent after the read began. A primary that has
been replaced does not get that majority.
"""

import heapq
from itertools import chain

from siskindale.models.group import Role, majority
from siskindale.pool.effects import Effect, RequestStatus, WaitForPosition
from siskindale.pool.stages import Phase, Stage, TimerKind
from siskindale.pool.systems import timers
from siskindale.pool.tables import GroupRow, RequestRow, Tables, TargetRow

# One probe confirms all reads of this interval; more probes would cost more than the reads.
PROBE_SPACING_S = 0.002
WAIT_SPACING_S = 0.002
# Delay after which the remaining replicas are probed too.
HEDGE_DELAY_S = 0.02
PROBE_TIMEOUT_S = 0.5
WAIT_TIMEOUT_S = 1.0
POSITION_ONLY_STAGES = frozenset({Stage.WRITE, Stage.KEY_RECORD, Stage.COMMIT})


class ConfirmationPurpose:
    """Purposes of confirmation requests; a replica has at most one of each in flight."""

    WAIT = "wait"
    PROBE = "probe"


def await_majority(tables: Tables, request: RequestRow) -> bool:
    """Adds an answered request to those that wait for a majority.

    Returns False if the term of its batch has ended, or if the target was not the primary of that
    term: the log of a fenced target may contain entries that the primary's log does not.
    """
    group, batch = request.group, request.batch
    assert batch is not None
    if batch.term < group.term or batch.role is not Role.PRIMARY:
        return False
    request.phase = Phase.CONFIRMING
    tables.mark_dirty(group)
    if batch.term > group.term:
        group.unconfirmed_of_later_terms.append(request)
        return True
    if group.primary is not None and request.served_by == group.primary.name:
        record_confirmation(group.primary, batch.at.position, request.batch_sent_at)
    if request.stage in POSITION_ONLY_STAGES:
        _await_position(group, request)
    else:
        heapq.heappush(group.unconfirmed_by_start, (request.batch_sent_at, request.number, request))
    return True


def record_confirmation(target: TargetRow, position: int, sent_at: float) -> None:
    """Records a position that a target reported as matched in the group's term."""
    target.matched_position = max(target.matched_position, position)
    target.confirmed_at = max(target.confirmed_at, sent_at)


def take_confirmed(group: GroupRow) -> list[RequestRow]:
    """Removes and returns the requests that a majority has confirmed."""
    if not group.writable:
        return []
    count = majority(len(group.voters))
    group.durable_position = int(_reached_by(group, count, "matched_position"))
    group.majority_confirmed_at = _reached_by(group, count, "confirmed_at")
    confirmed = []
    while (
        group.unconfirmed_by_start
        and group.unconfirmed_by_start[0][0] <= group.majority_confirmed_at
    ):
        _, _, request = heapq.heappop(group.unconfirmed_by_start)
        if request.phase is Phase.CONFIRMING:
            _await_position(group, request)
    while (
        group.unconfirmed_by_position
        and group.unconfirmed_by_position[0][0] <= group.durable_position
    ):
        _, _, request = heapq.heappop(group.unconfirmed_by_position)
        if request.phase is Phase.CONFIRMING:
            confirmed.append(request)
    return confirmed


def marker_confirmed(group: GroupRow) -> bool:
    """Whether majorities of the voters and of the previous voters hold the term's marker."""
    return all(
        sum(_has_matched(group, name, group.marker_position) for name in voters)
        >= majority(len(voters))
        for voters in (group.voters, group.previous_voters or group.voters)
    )


def take_unconfirmed(group: GroupRow) -> list[RequestRow]:
    """Removes and returns all requests that wait for confirmation in this term or a later one.

    Requests that have ended at their deadline in the meantime are left out, as they must not be
    answered again.
    """
    waiting = [
        entry[2] for entry in chain(group.unconfirmed_by_start, group.unconfirmed_by_position)
    ]
    waiting += group.unconfirmed_of_later_terms
    group.unconfirmed_by_start.clear()
    group.unconfirmed_by_position.clear()
    group.unconfirmed_of_later_terms.clear()
    group.highest_unconfirmed_position = -1
    return [request for request in waiting if request.phase is Phase.CONFIRMING]


def request_confirmations(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Requests missing confirmations; each replica has at most one wait and one probe in flight."""
    if group.primary is None:
        return []
    _drop_ended(group)
    effects: list[Effect] = []
    for target in group.targets.values():
        if target is not group.primary and target.name in _confirming_voters(group):
            effects += _request_wait(tables, group, target, now)
    return effects + _request_probes(tables, group, now)


def _confirming_voters(group: GroupRow) -> tuple[str, ...]:
    return group.voters if group.writable else group.voters + group.previous_voters


def _drop_ended(group: GroupRow) -> None:
    while (
        group.unconfirmed_by_position
        and group.unconfirmed_by_position[0][2].phase is not Phase.CONFIRMING
    ):
        heapq.heappop(group.unconfirmed_by_position)
    while (
        group.unconfirmed_by_start
        and group.unconfirmed_by_start[0][2].phase is not Phase.CONFIRMING
    ):
        heapq.heappop(group.unconfirmed_by_start)


def _request_wait(tables: Tables, group: GroupRow, target: TargetRow, now: float) -> list[Effect]:
    position = _next_wait_position(group, target)
    if position is None or target.wait_in_flight or _in_newer_term(group, target):
        return []
    due = max(target.avoided_until, target.wait_sent_at + WAIT_SPACING_S)
    if now < due:
        _schedule_check(tables, group, due)
        return []
    target.wait_in_flight = True
    target.wait_sent_at = now
    return [WaitForPosition(target, group.term, position, ConfirmationPurpose.WAIT, WAIT_TIMEOUT_S)]


def _next_wait_position(group: GroupRow, target: TargetRow) -> int | None:
    if not group.writable:
        return group.marker_position if target.matched_position < group.marker_position else None
    if not group.unconfirmed_by_position:
        return None
    lowest = max(group.unconfirmed_by_position[0][0], target.matched_position + 1)
    return lowest if lowest <= group.highest_unconfirmed_position else None


def _request_probes(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    if not group.writable or group.last_read_sent_at <= group.majority_confirmed_at:
        return []
    replicas = [
        t for t in group.targets.values() if t is not group.primary and t.name in group.voters
    ]
    replicas.sort(key=lambda t: (t.consecutive_failures > 0, t.distance, t.name))
    hedge_at = (
        group.unconfirmed_by_start[0][0] + HEDGE_DELAY_S
        if group.unconfirmed_by_start
        else now + HEDGE_DELAY_S
    )
    if now < hedge_at:
        replicas = replicas[: _needed_replicas(group)]
        _schedule_check(tables, group, hedge_at)
    return [effect for target in replicas for effect in _request_probe(tables, group, target, now)]


def _needed_replicas(group: GroupRow) -> int:
    primary_is_voter = group.primary is not None and group.primary.name in group.voters
    return majority(len(group.voters)) - primary_is_voter


def _request_probe(tables: Tables, group: GroupRow, target: TargetRow, now: float) -> list[Effect]:
    if (
        target.probe_in_flight
        or target.confirmed_at >= group.last_read_sent_at
        or _in_newer_term(group, target)
    ):
        return []
    due = max(target.avoided_until, target.probe_sent_at + PROBE_SPACING_S)
    if now < due:
        _schedule_check(tables, group, due)
        return []
    target.probe_in_flight = True
    target.probe_sent_at = now
    return [RequestStatus(target, ConfirmationPurpose.PROBE, PROBE_TIMEOUT_S)]


def _in_newer_term(group: GroupRow, target: TargetRow) -> bool:
    """Whether a target has a newer term, so that it no longer confirms the group's term."""
    return target.status is not None and target.status.term > group.term


def _schedule_check(tables: Tables, group: GroupRow, due: float) -> None:
    """Schedules a check of the group, unless one is already scheduled at that time or earlier."""
    if due < group.confirm_timer_due:
        group.confirm_timer_due = due
        timers.schedule(tables, due, TimerKind.CONFIRM, group)


def _await_position(group: GroupRow, request: RequestRow) -> None:
    assert request.batch is not None
    position = request.batch.at.position
    group.highest_unconfirmed_position = max(group.highest_unconfirmed_position, position)
    heapq.heappush(group.unconfirmed_by_position, (position, request.number, request))


def _has_matched(group: GroupRow, name: str, position: int) -> bool:
    target = group.targets.get(name)
    return target is not None and target.matched_position >= position


def _reached_by(group: GroupRow, count: int, field: str) -> float | int:
    """Returns the highest value of `field` that at least `count` voters have reached."""
    targets = (group.targets.get(name) for name in group.voters)
    values = sorted((getattr(t, field) if t else -1 for t in targets), reverse=True)
    return values[count - 1] if len(values) >= count else -1
