"""How many operations of a workspace each of its homes admits.

Load pattern: a workspace sends many times its usual, through all VMs and to all groups. Its quota
holds for all of them together in each sliding window. Each group counts the operations of a
workspace at one owner, its home, so the quota is divided among as many token buckets as there are
groups, by the demand that the homes report to each other. A home that reports nothing counts with
an equal part, so that the parts do not exceed the whole while homes cannot reach each other.
"""

import math

import attrs

from siskindale.models.catalog import Workspace
from siskindale.models.vm import ProxySettings

# The rest of what the operator tolerates covers the time until homes know of a change of demand.
USED_OVERAGE = 0.5
USED_SLACK = 0.8
DEMAND_TIME_CONSTANT_S = 2.0
# Two reports may be missing before the demand of another home is unknown.
REPORT_TIMEOUT_S = 3.5
# Part of an equal share that stays with a home without demand, for its first operations.
IDLE_SHARE = 0.1


@attrs.frozen
class Quota:
    """What one home admits: `rate_per_s` in the long run, and up to `burst` operations at once."""

    rate_per_s: float
    burst: float


@attrs.define
class Demand:
    """Smoothed number of operations per second that a workspace asks for."""

    per_s: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Returns the demand at `now`."""
        return self.per_s * math.exp((self.updated_at - now) / DEMAND_TIME_CONSTANT_S)

    def add(self, now: float) -> None:
        """Records an operation."""
        self.per_s = self.at(now) + 1 / DEMAND_TIME_CONSTANT_S
        self.updated_at = now


@attrs.define
class DemandView:
    """Demands of one workspace by group, as one of its homes knows them.

    `own` are counted here; `sent` holds what was last reported of them and when, `counted` what
    this home makes of it. `heard` is what the other homes have reported, and when.
    """

    own: dict[str, Demand] = attrs.field(factory=dict)
    sent: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    counted: dict[str, float] = attrs.field(factory=dict)
    heard: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def report(self, now: float) -> dict[str, float]:
        """Returns the demands to report; a lower one counts here at once."""
        reported = {group: round(demand.at(now), 3) for group, demand in self.own.items()}
        for group, per_s in reported.items():
            self._count_confirmed(group)
            self.counted[group] = min(per_s, self.counted.get(group, per_s))
            self.sent[group] = (per_s, now)
        return reported

    def hear(self, group: str, per_s: float, now: float) -> None:
        """Records what another home has reported; it may have taken over a group from this one."""
        own = self.own.get(group)
        if own is not None and now - own.updated_at < REPORT_TIMEOUT_S:
            return
        for table in (self.own, self.sent, self.counted):
            table.pop(group, None)
        self.heard[group] = (per_s, now)

    def part(self, workspace: Workspace, group: str, group_count: int, now: float) -> float:
        """Returns the part of the quota that this home admits for `group`.

        Homes that are not heard of keep an equal part each.
        """
        heard_after = now - REPORT_TIMEOUT_S
        self.heard = {name: entry for name, entry in self.heard.items() if entry[1] > heard_after}
        for name in self.own:
            self._count_confirmed(name)
        demands = {name: per_s for name, (per_s, _) in self.heard.items()}
        demands.update((name, self.counted.get(name, 0.0)) for name in self.own)
        least = max(IDLE_SHARE * (workspace.rate_per_s or 0.0) / max(1, group_count), 1e-9)
        known = sum(max(demand, least) for demand in demands.values())
        known_part = min(1.0, len(demands) / max(1, group_count))
        return known_part * max(demands.get(group, 0.0), least) / known

    def _count_confirmed(self, group: str) -> None:
        """Counts a higher demand once the other homes must have heard of it.

        They are reachable if they were heard since it was reported.
        """
        per_s, at = self.sent.get(group, (0.0, 0.0))
        if all(heard_at >= at for _, heard_at in self.heard.values()):
            self.counted[group] = per_s


def part_of(workspace: Workspace, part: float, group_count: int, settings: ProxySettings) -> Quota:
    """Returns what a home with a `part` of a workspace's quota admits.

    Half of the slack that is used may come at once, the other half is spread over a window.
    """
    factor = part * (1 + USED_OVERAGE * settings.quota_overage)
    slack = USED_SLACK * settings.quota_slack / max(1, group_count) / 2
    rate = workspace.rate_per_s or 0.0
    return Quota(
        rate_per_s=rate * factor + slack / settings.quota_window_s,
        burst=max(1.0, workspace.burst * factor + slack),
    )


@attrs.define
class Bucket:
    """Token bucket of a workspace at its home; a new one is full.

    A home that takes over from a lost one does not know what that one has admitted, and may exceed
    its part by one burst. The overage that is not used covers that.
    """

    quota: Quota
    updated_at: float
    tokens: float = attrs.field()

    @tokens.default
    def _initial_tokens(self) -> float:
        return self.quota.burst

    def set_quota(self, quota: Quota, now: float) -> None:
        """Applies a changed quota; a smaller one is in force at once."""
        self._refill(now)
        self.quota = quota
        self.tokens = min(self.tokens, quota.burst)

    def take(self, now: float) -> bool:
        """Takes a token for one operation; returns whether there was one."""
        self._refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def put_back(self) -> None:
        """Returns the token of an operation that did not run."""
        self.tokens = min(self.quota.burst, self.tokens + 1.0)

    def wait_s(self) -> float:
        """Returns the seconds until there is a token again."""
        missing = max(0.0, 1.0 - self.tokens)
        return missing / self.quota.rate_per_s if self.quota.rate_per_s else math.inf

    def _refill(self, now: float) -> None:
        self.tokens = min(
            self.quota.burst, self.tokens + (now - self.updated_at) * self.quota.rate_per_s
        )
        self.updated_at = now
