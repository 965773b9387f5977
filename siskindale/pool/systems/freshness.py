"""Freshness: samples of the primary's position, and the proved age of a replica's answer."""

from bisect import bisect_right

from siskindale.models.group import Role, TargetStatus, majority
from siskindale.pool.effects import AskStatus, Effect
from siskindale.pool.tables import (
    GroupRow,
    RequestRow,
    SampleRow,
    SamplingRow,
    Tables,
    TargetRow,
)
from siskindale.targets.interface import BatchResult

SAMPLE_TIMEOUT_S = 0.5
# Bounds the samples that acknowledged writes add under load.
MIN_SAMPLE_SPACING_S = 0.01
# Enough for replicas that lag by 10 s, at the smallest spacing.
KEPT_SAMPLES = 1000


def wanted(tables: Tables, group: GroupRow, request: RequestRow, now: float) -> None:
    """Notes a bounded-staleness read, which keeps sampling going."""
    if now - group.bounded_read_at > 2 * group.smallest_age_s:
        group.smallest_age_s = request.max_age_s
    group.smallest_age_s = min(group.smallest_age_s, request.max_age_s)
    group.bounded_read_at = now
    shortest = tables.bundle.durations.sample_interval_ms / 1000 if tables.bundle else 0.05
    group.sample_interval_s = max(shortest, group.smallest_age_s / 4)
    tables.touch(group)


def sample(group: GroupRow, now: float) -> list[Effect]:
    """Starts a sample when one is due and reads that need it keep arriving."""
    if now - group.sampled_at < group.sample_interval_s or group.primary is None:
        return []
    if now - group.bounded_read_at > group.sample_interval_s:
        return []
    group.sampled_at = now
    sampling = SamplingRow(now, group.term, outstanding=len(group.targets))
    group.sampling = sampling
    return [AskStatus(t, sampling, SAMPLE_TIMEOUT_S) for t in group.targets.values()]


def answered(
    group: GroupRow, sampling: SamplingRow, target: TargetRow, status: TargetStatus | None
) -> None:
    """Counts one answer; the sample is proved by a majority in the term with the primary."""
    sampling.outstanding -= 1
    if status is not None and status.term == sampling.term:
        sampling.responders.add(target.name)
        if status.role is Role.PRIMARY:
            sampling.position = status.log.position
    if group.sampling is not sampling:
        return
    voting = sum(name in sampling.responders for name in group.voters)
    if sampling.position is not None and voting >= majority(len(group.voters)):
        add(group, sampling.term, sampling.position, sampling.at)
        group.sampling = None
    elif sampling.outstanding <= 0:
        group.sampling = None


def add(group: GroupRow, term: int, position: int, at: float) -> None:
    """Keeps a proof; older ones than the newest, and too many in a short time, are not kept."""
    if term != group.term or not group.writable:
        return
    samples = group.samples
    if samples:
        if at - samples[-1].at < MIN_SAMPLE_SPACING_S:
            return
        # A larger position is a weaker claim, so it keeps the list sorted by position.
        position = max(position, samples[-1].position)
    samples.append(SampleRow(at, term, position))
    if len(samples) >= 2 * KEPT_SAMPLES:
        del samples[:KEPT_SAMPLES]


def proved_age(group: GroupRow, applied: int, now: float) -> float | None:
    """Returns a bound in seconds on the age of data at an applied position of the term."""
    count = bisect_right(group.samples, applied, key=_position)
    return now - group.samples[count - 1].at if count else None


def _position(sample: SampleRow) -> int:
    return sample.position


def promising(group: GroupRow, target: TargetRow, request: RequestRow, now: float) -> bool:
    """Whether a replica's last known state would pass; unknown states are worth an attempt."""
    status = target.status
    if status is not None and (status.role is not Role.REPLICA or status.term != group.term):
        return False
    token = request.token
    if token.term > group.term or (target.applied >= 0 and target.applied < token.position):
        return False
    recent = group.samples and now - group.samples[-1].at <= request.max_age_s
    if not recent:
        return True
    age = proved_age(group, target.applied, now)
    return age is not None and age <= request.max_age_s


def acceptable(
    group: GroupRow, request: RequestRow, batch: BatchResult, now: float
) -> float | None:
    """Returns the proved age in seconds of a replica's answer, None if a check fails."""
    token = request.token
    if batch.role is not Role.REPLICA or not batch.matched or batch.term != group.term:
        return None
    if batch.term < token.term or batch.at.position < token.position:
        return None
    age = proved_age(group, batch.at.position, now)
    return age if age is not None and age <= request.max_age_s else None
