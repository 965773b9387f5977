"""Reads while replicas lag behind their primary."""

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import lag, placement
from siskindale.proxy.tables import Group, Need, Target

READS_PER_S = 50
DRAIN_S = 7.0


class Replay:
    """Reads of one VM at a steady rate; replicas lag by `lag_s` behind a log of 10 commits/s."""

    def __init__(self, group: Group, lag_s: float) -> None:
        self.group = group
        self.lag_s = lag_s
        self.refused = 0
        self.served: list[str] = []

    def run(self, start: float, seconds: float, staleness_s: float) -> None:
        for number in range(int(seconds * READS_PER_S)):
            now = start + number / READS_PER_S
            self.group.freshness.note(self._log(now), now)
            self._read(self._log(now - staleness_s), now)

    def _read(self, minimum: LogPosition, now: float) -> None:
        excluded: set[str] = set()
        need = Need(minimum, 1, now + 1.0, primary_only=False)
        while True:
            found = placement.candidates(self.group, need, excluded, "west", now, DRAIN_S)
            if self._try(found[0], minimum, now):
                return
            excluded.add(found[0].id)

    def _try(self, target: Target, minimum: LogPosition, now: float) -> bool:
        held = self._log(now if target is self.group.primary else now - self.lag_s)
        if held >= minimum:
            self.served.append(target.id)
            return True
        self.refused += 1
        lag.note_lagging(target, self.group.freshness, minimum, held, now)
        return False

    @staticmethod
    def _log(at: float) -> LogPosition:
        return LogPosition(1, int(at * 10))


def test_reads_pass_over_replicas_that_lack_what_they_need(group: Group) -> None:
    """Guards against each read trying replicas that are seconds behind (1,356 of 12,600 tries)."""
    replay = Replay(group, lag_s=2.2)
    replay.run(100.0, 7.0, staleness_s=1.5)
    assert replay.refused <= 2 * 7.0 / lag.RECHECK_MAX_S + 2


def test_reads_return_to_a_replica_that_has_caught_up(group: Group) -> None:
    """Guards against a primary that serves all reads long after its replicas caught up."""
    replay = Replay(group, lag_s=2.2)
    replay.run(100.0, 2.0, staleness_s=1.5)
    replay.lag_s, replay.served = 0.02, []
    replay.run(102.0, 2.0, staleness_s=1.5)
    assert replay.served.count("b") >= 0.7 * len(replay.served)


def test_reads_that_accept_older_data_stay_at_the_replica(group: Group) -> None:
    """Guards against a refusal of one kind of read that sends all others to the primary."""
    target = group.targets["b"]
    lag.note_lagging(target, group.freshness, LogPosition(1, 9), LogPosition(1, 5), now=1.0)
    assert lag.may_serve(group, target, LogPosition(1, 8), now=1.0)
    assert not lag.may_serve(group, target, LogPosition(1, 9), now=1.0)


def test_a_replica_just_behind_is_asked_again_at_once(group: Group) -> None:
    """Guards against reads of a fresh commit that leave their replica for half a second."""
    group.freshness.note(LogPosition(1, 5), 1.0)
    group.freshness.note(LogPosition(1, 6), 1.06)
    assert lag.recheck_after(group.freshness, LogPosition(1, 5), now=1.07) < 0.08


def test_an_unknown_lag_is_taken_for_a_long_one(group: Group) -> None:
    """Guards against a replica without any known position that is asked by each read."""
    assert lag.recheck_after(group.freshness, None, now=1.0) == lag.RECHECK_MAX_S
    assert lag.recheck_after(group.freshness, LogPosition(1, 1), now=1.0) == lag.RECHECK_MAX_S


def test_replicas_are_asked_while_the_primary_is_lost(group: Group) -> None:
    """Guards against reads that wait half a second for a replica which has caught up meanwhile."""
    minimum = LogPosition(1, 9)
    need = Need(minimum, 1, 9.0, primary_only=False)
    for name in ("b", "c"):
        lag.note_lagging(group.targets[name], group.freshness, minimum, None, now=1.0)
    group.targets["a"].avoid_until = 2.0
    found = placement.candidates(group, need, (), "west", 1.1, DRAIN_S)
    assert [target.id for target in found] == ["b", "c"]
