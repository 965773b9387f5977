"""Freshness: samples of the primary's position, which bound the age of a replica's answer."""

from bisect import bisect_right

from siskindale.models.group import Role, TargetStatus, majority
from siskindale.pool.effects import Effect, RequestStatus
from siskindale.pool.tables import (
    GroupRow,
    PendingSampleRow,
    RequestRow,
    SampleRow,
    Tables,
    TargetRow,
)
from siskindale.targets.interface import BatchResult

SAMPLE_TIMEOUT_S = 0.5
# Limits the number of samples that confirmed requests add under load.
MIN_SAMPLE_SPACING_S = 0.01
# At the minimum spacing, enough for replicas that lag by 10 s.
MIN_KEPT_SAMPLES = 1000


def note_bounded_read(tables: Tables, group: GroupRow, request: RequestRow, now: float) -> None:
    """Records a bounded-staleness read, which keeps sampling active."""
    if now - group.last_bounded_read_at > 2 * group.smallest_max_age_s:
        group.smallest_max_age_s = request.max_age_s
    group.smallest_max_age_s = min(group.smallest_max_age_s, request.max_age_s)
    group.last_bounded_read_at = now
    shortest = tables.bundle.durations.sample_interval_ms / 1000 if tables.bundle else 0.05
    group.sample_interval_s = max(shortest, group.smallest_max_age_s / 4)
    tables.mark_dirty(group)


def start_sample(group: GroupRow, now: float) -> list[Effect]:
    """Starts a sample if one is due and bounded-staleness reads arrived recently."""
    if now - group.last_sample_at < group.sample_interval_s or group.primary is None:
        return []
    if now - group.last_bounded_read_at > group.sample_interval_s:
        return []
    group.last_sample_at = now
    pending = PendingSampleRow(now, group.term, outstanding_answers=len(group.targets))
    group.pending_sample = pending
    return [RequestStatus(t, pending, SAMPLE_TIMEOUT_S) for t in group.targets.values()]


def sample_answered(
    group: GroupRow, pending: PendingSampleRow, target: TargetRow, status: TargetStatus | None
) -> None:
    """Adds an answer; the sample is valid once a majority and the primary answered in the term."""
    pending.outstanding_answers -= 1
    if status is not None and status.term == pending.term:
        pending.responders.add(target.name)
        if status.role is Role.PRIMARY:
            pending.position = status.log.position
    if group.pending_sample is not pending:
        return
    responding_voters = sum(name in pending.responders for name in group.voters)
    if pending.position is not None and responding_voters >= majority(len(group.voters)):
        add_sample(group, pending.term, pending.position, pending.taken_at)
        group.pending_sample = None
    elif pending.outstanding_answers <= 0:
        group.pending_sample = None


def add_sample(group: GroupRow, term: int, position: int, taken_at: float) -> None:
    """Adds a sample, unless it is older than the newest one or follows it too closely."""
    if term != group.term or not group.writable:
        return
    samples = group.samples
    if samples:
        if taken_at - samples[-1].taken_at < MIN_SAMPLE_SPACING_S:
            return
        # A larger position is a weaker bound, so raising it keeps the list sorted by position.
        position = max(position, samples[-1].position)
    samples.append(SampleRow(taken_at, term, position))
    if len(samples) >= 2 * MIN_KEPT_SAMPLES:
        del samples[:MIN_KEPT_SAMPLES]


def age_bound_s(group: GroupRow, applied_position: int, now: float) -> float | None:
    """Returns an upper bound in seconds on the age of data at a position of the group's term."""
    count = bisect_right(group.samples, applied_position, key=_sample_position)
    return now - group.samples[count - 1].taken_at if count else None


def _sample_position(sample: SampleRow) -> int:
    return sample.position


def may_satisfy(group: GroupRow, target: TargetRow, request: RequestRow, now: float) -> bool:
    """Whether a replica could serve the read by its last known state; True if that is unknown."""
    status = target.status
    if status is not None and (status.role is not Role.REPLICA or status.term != group.term):
        return False
    token = request.token
    if token.term > group.term or (
        target.applied_position >= 0 and target.applied_position < token.position
    ):
        return False
    recent = group.samples and now - group.samples[-1].taken_at <= request.max_age_s
    if not recent:
        return True
    age = age_bound_s(group, target.applied_position, now)
    return age is not None and age <= request.max_age_s


def acceptable_age_s(
    group: GroupRow, request: RequestRow, batch: BatchResult, now: float
) -> float | None:
    """Returns the age bound in seconds of a replica's answer, None if a check fails."""
    token = request.token
    if batch.role is not Role.REPLICA or not batch.matched or batch.term != group.term:
        return None
    if batch.term < token.term or batch.at.position < token.position:
        return None
    age = age_bound_s(group, batch.at.position, now)
    return age if age is not None and age <= request.max_age_s else None
