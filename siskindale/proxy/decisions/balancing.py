"""How busy a target is, from old knowledge of what other VMs send to it.

Load pattern: several owners choose among the same targets at the same moment. Each knows what it
has at a target itself, and of the others only what they last reported, which is up to some seconds
old. If all of them choose the target that was the least busy then, targets are overrun in turns
while others idle. So owners report the average of what they run rather than the present number, an
old report counts for less, and the part of the load that an owner does not see itself is weighted
by a random number: with none of it known the choice becomes proportional to spare capacity.
"""

import math
from random import Random

import attrs

# Averages over longer than a statement, and shorter than two reports.
AVERAGE_TIME_CONSTANT_S = 1.0
# After this time a report counts half, and the own load, as that of an average owner, the rest.
REPORT_HALF_LIFE_S = 3.0
REPORT_TIMEOUT_S = 6.0
# Statements arrive unevenly, so queues form before an average fills all slots. With a smaller
# weight, statements wait in their failure domain while slots of others are free.
QUEUE_WEIGHT = 3.0


@attrs.define
class RunningAverage:
    """Average number of statements that this VM runs at a target."""

    value: float = 0.0
    updated_at: float = 0.0

    def at(self, running_count: int, now: float) -> float:
        """Returns the average at `now`, if `running_count` have been running since the update."""
        weight = math.exp((self.updated_at - now) / AVERAGE_TIME_CONSTANT_S)
        return running_count + (self.value - running_count) * weight

    def advance(self, running_count: int, now: float) -> None:
        """Includes the time since the update, before the number of statements changes."""
        self.value = self.at(running_count, now)
        self.updated_at = now


@attrs.frozen
class ReportedLoad:
    """Average number of statements that another owner runs at a target."""

    running: float
    heard_at: float


@attrs.frozen
class TargetLoad:
    """What runs at a target: statements of this VM, and those that others are expected to run."""

    own: float
    others: float

    @property
    def total(self) -> float:
        """Statements of all owners."""
        return self.own + self.others

    @property
    def unseen_share(self) -> float:
        """Share of the load that is known from reports only."""
        return self.others / self.total if self.total else 0.0


def others_running(reports: dict[str, ReportedLoad], own_average: float, now: float) -> float:
    """Returns how many statements the other owners are expected to run, from their reports."""
    return sum(
        own_average + (report.running - own_average) * _report_weight(now - report.heard_at)
        for report in reports.values()
        if now - report.heard_at < REPORT_TIMEOUT_S
    )


def _report_weight(age_s: float) -> float:
    return float(0.5 ** (age_s / REPORT_HALF_LIFE_S))


def expected_time(service_s: float, load: TargetLoad, slots: int, random: Random) -> float:
    """Returns the expected time of a statement at a target, in seconds.

    `service_s` is its time while slots are free.
    """
    utilization = load.total / max(1, slots)
    noise = 1 + load.unseen_share * (random.expovariate(1.0) - 1)
    return service_s * (1 + QUEUE_WEIGHT * utilization**2 * noise)


def service_time(latency_s: float, average_load: float, slots: int) -> float:
    """Returns the time of a statement while slots are free, from that under `average_load`."""
    return latency_s / max(1.0, average_load / max(1, slots))
