"""VMs that are listed or were members, and that nobody has heard of.

The directory in the store keeps a row for each VM that ever started, so a row shows an address to
ask and nothing more. A VM becomes a member once it, or a member, has been heard of it.

Load pattern: all VMs start at once and read the rows of hundreds that were replaced. All are asked
at once; those that do not answer are asked again twice, and then one of them a second.
"""

from collections.abc import Iterable

import attrs

from siskindale.models.members import MemberFact

# When a candidate is asked again, counted from the first time.
ASK_AFTER_S = (0.0, 0.1, 0.4)
MAX_CANDIDATES = 2000


@attrs.define(eq=False)
class Candidate:
    """A VM that has not been heard since `since`, and how often it was asked since then."""

    fact: MemberFact
    since: float
    asked_count: int = 0

    @property
    def silent(self) -> bool:
        """Whether it was asked as often as is useful at once."""
        return self.asked_count >= len(ASK_AFTER_S)


@attrs.define(eq=False)
class Candidates:
    """Candidates by the names of their VMs, oldest first."""

    rows: dict[str, Candidate] = attrs.field(factory=dict)

    def add(self, facts: Iterable[MemberFact], now: float) -> None:
        """Adds VMs to ask."""
        for fact in facts:
            self.rows.setdefault(fact.vm, Candidate(fact, now))
        self._limit()

    def add_forgotten(self, facts: Iterable[MemberFact], since: float) -> None:
        """Adds VMs that were members until `since`, and have not answered for long."""
        for fact in facts:
            self.rows[fact.vm] = Candidate(fact, since, len(ASK_AFTER_S))
        self._limit()

    def remove(self, vm: str) -> Candidate | None:
        """Removes a VM because it was heard; returns what it was."""
        return self.rows.pop(vm, None)

    def next_to_ask(self, now: float, limit: int) -> list[MemberFact]:
        """Returns up to `limit` VMs that are due to be asked, and counts them as asked."""
        due = [
            candidate
            for candidate in self.rows.values()
            if not candidate.silent and now - candidate.since >= ASK_AFTER_S[candidate.asked_count]
        ][:limit]
        for candidate in due:
            candidate.asked_count += 1
        return [candidate.fact for candidate in due]

    def any_to_ask(self) -> bool:
        """Returns whether any VM will be due to be asked."""
        return any(not candidate.silent for candidate in self.rows.values())

    def silent(self) -> list[MemberFact]:
        """Returns the VMs that have not answered."""
        return [candidate.fact for candidate in self.rows.values() if candidate.silent]

    def unheard_for(self, duration_s: float, now: float) -> list[MemberFact]:
        """Returns the VMs that have not been heard for a time."""
        return [
            candidate.fact
            for candidate in self.rows.values()
            if candidate.silent and now - candidate.since >= duration_s
        ]

    def _limit(self) -> None:
        while len(self.rows) > MAX_CANDIDATES:
            del self.rows[next(iter(self.rows))]
