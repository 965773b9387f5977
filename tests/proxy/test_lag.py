"""Tests of reads while replicas lag behind their primary."""

from random import Random

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import lag, placement
from siskindale.proxy.tables import Group, Need, Target

READS_PER_S = 50
DRAIN_S = 7.0


class SteadyReads:
    """Simulates reads of one VM at a steady rate, while replicas lag by `lag_s` seconds.

    The log grows by 10 commits/s.
    """

    def __init__(self, group: Group, lag_s: float) -> None:
        self.group = group
        self.lag_s = lag_s
        self.refused = 0
        self.served: list[str] = []

    def run(self, start: float, seconds: float, staleness_s: float) -> None:
        for number in range(int(seconds * READS_PER_S)):
            now = start + number / READS_PER_S
            self.group.freshness.add_sample(self._log_position(now), now)
            self._read(self._log_position(now - staleness_s), now)

    def _read(self, minimum: LogPosition, now: float) -> None:
        excluded: set[str] = set()
        need = Need(minimum, 1, now + 1.0, primary_only=False, objective_at=now + 0.2)
        while True:
            candidates = placement.candidates(
                self.group, need, excluded, "west", now, DRAIN_S, Random(1)
            )
            if self._try(candidates[0], minimum, now):
                return
            excluded.add(candidates[0].id)

    def _try(self, target: Target, minimum: LogPosition, now: float) -> bool:
        held = self._log_position(now if target is self.group.primary else now - self.lag_s)
        if held >= minimum:
            self.served.append(target.id)
            return True
        self.refused += 1
        lag.note_lagging(target, self.group.freshness, minimum, held, now)
        return False

    @staticmethod
    def _log_position(at: float) -> LogPosition:
        return LogPosition(1, int(at * 10))


def test_reads_skip_replicas_that_lack_the_required_position(group: Group) -> None:
    """Guards against every read trying replicas that are seconds behind.

    Seen: 1,356 of 12,600 attempts went to such replicas.
    """
    reads = SteadyReads(group, lag_s=2.2)
    reads.run(100.0, 7.0, staleness_s=1.5)
    assert reads.refused <= 2 * 7.0 / lag.RECHECK_MAX_S + 2


def test_reads_return_to_a_replica_that_has_caught_up(group: Group) -> None:
    """Guards against the primary serving all reads long after its replicas have caught up."""
    reads = SteadyReads(group, lag_s=2.2)
    reads.run(100.0, 2.0, staleness_s=1.5)
    reads.lag_s, reads.served = 0.02, []
    reads.run(102.0, 2.0, staleness_s=1.5)
    assert reads.served.count("b") >= 0.7 * len(reads.served)


def test_reads_that_accept_older_data_stay_at_the_replica(group: Group) -> None:
    """Guards against one refused read sending reads of lower positions to the primary, too."""
    target = group.targets["b"]
    lag.note_lagging(target, group.freshness, LogPosition(1, 9), LogPosition(1, 5), now=1.0)
    assert lag.may_have_position(group, target, LogPosition(1, 8), now=1.0)
    assert not lag.may_have_position(group, target, LogPosition(1, 9), now=1.0)


def test_a_slightly_lagging_replica_is_tried_again_soon(group: Group) -> None:
    """Guards against reads avoiding a replica for half a second because of a recent commit."""
    group.freshness.add_sample(LogPosition(1, 5), 1.0)
    group.freshness.add_sample(LogPosition(1, 6), 1.06)
    assert lag.recheck_delay(group.freshness, LogPosition(1, 5), now=1.07) < 0.08


def test_an_unknown_lag_is_treated_as_a_long_one(group: Group) -> None:
    """Guards against every read trying a replica whose position is unknown."""
    assert lag.recheck_delay(group.freshness, None, now=1.0) == lag.RECHECK_MAX_S
    assert lag.recheck_delay(group.freshness, LogPosition(1, 1), now=1.0) == lag.RECHECK_MAX_S


def test_lagging_replicas_are_tried_while_the_primary_is_lost(group: Group) -> None:
    """Guards against reads that wait half a second although a replica has caught up meanwhile."""
    minimum = LogPosition(1, 9)
    need = Need(minimum, 1, 9.0, primary_only=False, objective_at=8.0)
    for name in ("b", "c"):
        lag.note_lagging(group.targets[name], group.freshness, minimum, None, now=1.0)
    group.targets["a"].avoid_until = 2.0
    candidates = placement.candidates(group, need, (), "west", 1.1, DRAIN_S, Random(1))
    assert [target.id for target in candidates] == ["b", "c"]
