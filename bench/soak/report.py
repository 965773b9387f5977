"""Figures of a soak, and what its checks found."""

from collections import Counter

import attrs

from bench.soak.history import Record
from bench.soak.run import SoakPlan

MAX_SHOWN = 5


@attrs.frozen
class SoakReport:
    """Figures of one run; `command` runs it again."""

    command: str
    requests: int
    succeeded: int
    unanswered: int
    promotions: int
    troubles: dict[str, int]
    violations: dict[str, list[str]]

    def lines(self) -> list[str]:
        """Returns the report as text."""
        counts = [f"{count} {name}" for name, count in sorted(self.troubles.items())]
        troubles = ", ".join(counts) or "no trouble"
        head = (
            f"{self.command}: {self.requests} requests, {self.succeeded} succeeded, "
            f"{self.unanswered} without answer, {self.promotions} promotions; {troubles}"
        )
        found = [
            f"  {name}: {len(violations)} violations\n    " + "\n    ".join(violations[:MAX_SHOWN])
            for name, violations in self.violations.items()
        ]
        return [head, *found]


def soak_report(plan: SoakPlan, record: Record, violations: dict[str, list[str]]) -> SoakReport:
    """Returns the report of a run."""
    return SoakReport(
        f"python -m bench soak --seed {plan.seed} --seconds {plan.seconds:g} --vms {plan.vms}",
        len(record.requests),
        sum(request.succeeded for request in record.requests),
        sum(request.answered_at is None for request in record.requests),
        len(record.promotions),
        dict(Counter(name for _, name in record.troubles)),
        violations,
    )
