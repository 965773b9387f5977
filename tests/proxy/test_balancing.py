"""Replays of several owners that choose among targets with old knowledge of each other."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random

import attrs
import pytest

from siskindale.models.catalog import TargetRegistration
from siskindale.models.group import LogPosition, Role
from siskindale.proxy.decisions import balancing, placement
from siskindale.proxy.decisions.balancing import ReportedLoad
from siskindale.proxy.tables import Group, Need, Target

READ = Need(LogPosition(1, 1), 1, 1e9, primary_only=False, objective_at=1e9)
TARGETS = ("a", "b", "c")
SLOTS = 5
WORK_S = 0.02
DURATION_S = 20.0
WARM_UP_S = 4.0

Choice = Callable[[Group, float, Random], Target]


def proxy_choice(group: Group, now: float, random: Random) -> Target:
    return placement.candidates(group, READ, (), "nowhere", now, 7.0, random)[0]


def random_choice(group: Group, now: float, random: Random) -> Target:
    return random.choice(list(group.targets.values()))


def least_known_choice(group: Group, now: float, random: Random) -> Target:
    """Chooses the target that ran the fewest statements at the time of the newest reports."""
    return min(
        group.targets.values(),
        key=lambda t: (
            t.running_count + sum(report.running for report in t.reported_loads.values()),
            random.random(),
        ),
    )


@attrs.define
class Server:
    """A target as it is: slots and a queue."""

    slowness: float = 1.0
    running: int = 0
    queue: deque[tuple[float, int]] = attrs.field(factory=deque)


@attrs.define
class Outcome:
    """What a replay shows: times of statements, and imbalance of the targets."""

    times: list[float] = attrs.field(factory=list)
    in_flight: dict[str, float] = attrs.field(factory=dict)
    samples: int = 0
    overrun: int = 0

    @property
    def percentile_99(self) -> float:
        """Time within which 99 of 100 statements end."""
        return sorted(self.times)[int(0.99 * len(self.times))]

    @property
    def imbalance(self) -> float:
        """Largest over mean number of statements at a target."""
        return max(self.in_flight.values()) * len(TARGETS) / sum(self.in_flight.values())


def replay(
    group: Group,
    choice: Choice,
    owners: int,
    report_interval_s: float,
    load: float = 0.7,
    slowness: float = 1.0,
) -> Outcome:
    """Plays statements that arrive at random owners; target c takes `slowness` times as long."""
    random = Random(owners)
    entry: TargetRegistration = group.targets["a"].entry
    replica = attrs.evolve(entry, role=Role.REPLICA, slots=SLOTS)
    views = [
        Group("g", group.limits, {n: Target(attrs.evolve(replica, id=n)) for n in TARGETS})
        for _ in range(owners)
    ]
    servers = {name: Server(slowness if name == "c" else 1.0) for name in TARGETS}
    sent: list[tuple[float, int, str]] = []
    ends: list[tuple[float, int]] = []
    outcome = Outcome(in_flight=dict.fromkeys(TARGETS, 0.0))
    capacity = SLOTS * sum(1 / server.slowness for server in servers.values()) / WORK_S
    reports = [(report_interval_s * number / owners, number) for number in range(owners)]
    heapq.heapify(reports)
    next_sample = WARM_UP_S
    now = 0.0

    def start(name: str, number: int, at: float) -> None:
        servers[name].running += 1
        took = random.expovariate(1 / WORK_S) * servers[name].slowness
        heapq.heappush(ends, (at + took, number))

    for number in itertools.count():
        now += random.expovariate(load * capacity)
        if now > DURATION_S:
            return outcome
        while ends and ends[0][0] <= now:
            ended_at, ended = heapq.heappop(ends)
            sent_at, owner, name = sent[ended]
            target, server = views[owner].targets[name], servers[name]
            target.average_load.advance(target.running_count, ended_at)
            target.in_flight -= 1
            placement.note_latency(target, ended_at - sent_at, ended_at)
            server.running -= 1
            if ended_at > WARM_UP_S:
                outcome.times.append(ended_at - sent_at)
            if server.queue:
                start(name, server.queue.popleft()[1], ended_at)
        while reports[0][0] <= now:
            at, reporter = heapq.heappop(reports)
            heapq.heappush(reports, (at + report_interval_s, reporter))
            for name, target in views[reporter].targets.items():
                average = target.average_load.at(target.running_count, now)
                if choice is least_known_choice:
                    average = target.running_count
                for other in views[:reporter] + views[reporter + 1 :]:
                    other.targets[name].reported_loads[str(reporter)] = ReportedLoad(average, now)
        while next_sample <= now:
            next_sample += 0.01
            counts = {n: s.running + len(s.queue) for n, s in servers.items()}
            outcome.samples += 1
            outcome.overrun += any(s.queue for s in servers.values()) and any(
                s.running < SLOTS for s in servers.values()
            )
            for name, count in counts.items():
                outcome.in_flight[name] += count
        owner = random.randrange(owners)
        chosen = choice(views[owner], now, random)
        chosen.average_load.advance(chosen.running_count, now)
        chosen.in_flight += 1
        sent.append((now, owner, chosen.id))
        if servers[chosen.id].running < SLOTS:
            start(chosen.id, number, now)
        else:
            servers[chosen.id].queue.append((now, number))
    raise AssertionError("unreachable")


@pytest.mark.parametrize("report_interval_s", [0.05, 0.5, 2.0])
@pytest.mark.parametrize("owners", [3, 12, 64])
def test_steady_load_is_even(group: Group, owners: int, report_interval_s: float) -> None:
    """Guards against targets that are overrun in turns, by all owners at once."""
    outcome = replay(group, proxy_choice, owners, report_interval_s)
    by_chance = replay(group, random_choice, owners, report_interval_s)
    least_known = replay(group, least_known_choice, owners, report_interval_s)
    assert outcome.imbalance <= 1.3
    assert outcome.percentile_99 <= 1.1 * by_chance.percentile_99
    if owners > 3 and report_interval_s >= 0.5:
        assert outcome.percentile_99 < least_known.percentile_99
        assert outcome.overrun < least_known.overrun


@pytest.mark.parametrize("owners", [3, 12])
def test_a_slow_target_is_left_and_not_by_all_work(group: Group, owners: int) -> None:
    """Guards against owners that keep sending an even part to a target eight times slower."""
    outcome = replay(group, proxy_choice, owners, 1.5, load=0.6, slowness=8.0)
    by_chance = replay(group, random_choice, owners, 1.5, load=0.6, slowness=8.0)
    assert outcome.percentile_99 < by_chance.percentile_99
    assert outcome.in_flight["c"] > 0


def test_an_old_report_counts_as_an_average_owner() -> None:
    """Guards against decisions on what a lost or paused owner ran long ago."""
    reports = {"other": ReportedLoad(running=8.0, heard_at=0.0)}
    fresh = balancing.others_running(reports, own_average=2.0, now=0.0)
    old = balancing.others_running(reports, own_average=2.0, now=3.0)
    assert (fresh, old) == (8.0, 5.0)
    assert balancing.others_running(reports, 2.0, now=balancing.REPORT_TIMEOUT_S) == 0.0
