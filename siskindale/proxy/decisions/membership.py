"""What a VM believes of the other VMs of its fleet.

Facts spread by gossip: each one is passed on a number of times that grows with the logarithm of the
fleet, so that the messages of a VM hardly grow with it. A VM that does not answer is suspected
first, and counts as gone if it does not refute that.
"""

import math
from collections.abc import Iterable
from random import Random

import attrs
import xxhash

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.models.address import Address
from siskindale.models.members import MemberFact, MemberState
from siskindale.proxy.decisions.candidates import Candidates

# A suspected VM has this long to refute it: a few exchanges, and a pause of a slow VM.
SUSPICION_TIMEOUT_S = 2.0
# Facts of VMs that are gone are kept so that older facts of them are recognized.
GONE_RETENTION_S = 60.0
# Members, this one included, that must know each other for a row to be removed.
MIN_WITNESSES = 2
# A fact reaches the fleet in about log2(N) messages a VM; each time it goes to this many VMs.
GOSSIP_FANOUT = 3


@attrs.define(eq=False)
class MemberRow:
    """A fact, when it was learned, and how often it is still to be passed on."""

    fact: MemberFact
    changed_at: float
    transmissions_left: int


@attrs.define(eq=False)
class MemberTable:
    """Facts on all VMs of the fleet, this one included.

    `candidates` are VMs that may exist and count for nothing until they are heard of. `returned`
    are VMs that were heard again after they had been forgotten. `version` increases with each
    change, for caches of what follows from the facts.
    """

    own: MemberFact
    random: Random
    rows: dict[str, MemberRow] = attrs.field(factory=dict)
    candidates: Candidates = attrs.field(factory=Candidates)
    version: int = 0
    returned: list[str] = attrs.field(factory=list)
    _digest: int | None = None
    _probe_order: list[str] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._set_row(self.own, 0.0)

    def merge(self, facts: Iterable[MemberFact], now: float) -> list[MemberFact]:
        """Applies newer facts; returns those that changed what is known."""
        return [fact for fact in facts if self._merge_one(fact, now)]

    def members(self) -> list[MemberFact]:
        """Returns the facts of all VMs that are not gone, this one included."""
        return [r.fact for r in self.rows.values() if r.fact.state is not MemberState.GONE]

    def serving(self) -> list[MemberFact]:
        """Returns the facts of the VMs that take new work."""
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [row.fact for row in self.rows.values() if row.fact.state in states]

    def others(self) -> list[MemberFact]:
        """Returns the members without this VM."""
        return [fact for fact in self.members() if fact.vm != self.own.vm]

    def gone(self) -> list[Address]:
        """Returns the addresses of VMs that count as gone."""
        return [r.fact.peers for r in self.rows.values() if r.fact.state is MemberState.GONE]

    def fact(self, vm: str) -> MemberFact | None:
        """Returns what is known of a VM."""
        row = self.rows.get(vm)
        return row.fact if row else None

    def suspect(self, vm: str, now: float) -> MemberFact | None:
        """Records that a VM did not answer; returns the new fact, None if that changes nothing.

        One that was draining has stopped as planned. As a suspect it would count as serving again.
        """
        row = self.rows.get(vm)
        if row is None or row.fact.state >= MemberState.SUSPECT:
            return None
        draining = row.fact.state is MemberState.DRAINING
        state = MemberState.GONE if draining else MemberState.SUSPECT
        return self._set_row(attrs.evolve(row.fact, state=state), now)

    def expire_suspects(self, now: float) -> list[MemberFact]:
        """Declares VMs gone that did not refute their suspicion in time; returns their facts."""
        expired = [
            row.fact
            for row in self.rows.values()
            if row.fact.state is MemberState.SUSPECT and now - row.changed_at >= SUSPICION_TIMEOUT_S
        ]
        return [self._set_row(attrs.evolve(fact, state=MemberState.GONE), now) for fact in expired]

    def restart_suspicions(self, now: float) -> None:
        """Gives suspected VMs their whole time again, because this VM itself was paused."""
        for row in self.rows.values():
            if row.fact.state is MemberState.SUSPECT:
                row.changed_at = now

    def forget_gone(self, now: float) -> None:
        """Removes the facts of VMs that have been gone for long, which become candidates."""
        for vm, row in list(self.rows.items()):
            long_gone = now - row.changed_at >= GONE_RETENTION_S
            if row.fact.state is MemberState.GONE and long_gone:
                del self.rows[vm]
                self.candidates.add_forgotten([row.fact], row.changed_at)
                self._note_change()

    def take_returned(self) -> list[str]:
        """Returns the VMs that were heard again since the last call."""
        returned, self.returned = self.returned, []
        return returned

    def lost_to_remove(self, now: float) -> list[MemberFact]:
        """Returns the VMs unheard for long whose rows in the directory this VM has to remove.

        One member is responsible for each of them. A VM that hears nobody may itself be cut off.
        """
        serving = [fact.vm for fact in self.serving()]
        if len(serving) < MIN_WITNESSES:
            return []
        return [
            fact
            for fact in self.candidates.unheard_for(GONE_RETENTION_S, now)
            if max(serving, key=lambda vm: rendezvous_score(fact.vm, vm)) == self.own.vm
        ]

    def drain(self, now: float) -> None:
        """Records that this VM takes no new work any more."""
        self._assert_own(MemberState.DRAINING, self.own.incarnation + 1, now)

    def take_updates(self, limit: int) -> tuple[MemberFact, ...]:
        """Returns the facts that were passed on least, and counts them as passed on once more."""
        pending = sorted(
            (row for row in self.rows.values() if row.transmissions_left),
            key=lambda row: -row.transmissions_left,
        )[:limit]
        for row in pending:
            row.transmissions_left -= 1
        return tuple(row.fact for row in pending)

    def next_to_probe(self) -> MemberFact | None:
        """Returns the next VM of a random order in which each one comes up once."""
        for _ in range(2):
            while self._probe_order:
                fact = self.fact(self._probe_order.pop())
                if fact is not None and fact.state is not MemberState.GONE:
                    return fact
            self._probe_order = [fact.vm for fact in self.others()]
            self.random.shuffle(self._probe_order)
        return None

    def sample(self, count: int, excluded: Iterable[str] = ()) -> list[MemberFact]:
        """Returns random other members."""
        candidates = [fact for fact in self.others() if fact.vm not in excluded]
        return self.random.sample(candidates, min(count, len(candidates)))

    def gossip_receivers(self) -> list[MemberFact]:
        """Returns the VMs to pass updates on to: one anywhere, the others in the own domain.

        Bytes between failure domains are expensive.
        """
        anywhere = self.sample(1)
        others = [
            fact
            for fact in self.others()
            if fact.failure_domain == self.own.failure_domain and fact not in anywhere
        ]
        near = self.random.sample(others, min(GOSSIP_FANOUT - 1, len(others)))
        return [*anywhere, *near]

    @property
    def digest(self) -> int:
        """Hash of all facts; equal tables have equal hashes."""
        if self._digest is None:
            lines = sorted(f"{f.vm} {f.incarnation} {f.state.value}" for f in self.members())
            self._digest = xxhash.xxh3_64_intdigest("\n".join(lines).encode())
        return self._digest

    def _merge_one(self, fact: MemberFact, now: float) -> bool:
        if fact.vm == self.own.vm:
            return self._refute(fact, now)
        row = self.rows.get(fact.vm)
        if row is None:
            if fact.state is MemberState.GONE:
                return False
            candidate = self.candidates.remove(fact.vm)
            if candidate is not None and now - candidate.since >= GONE_RETENTION_S:
                self.returned.append(fact.vm)
        elif (fact.incarnation, fact.state) <= (row.fact.incarnation, row.fact.state):
            return False
        self._set_row(fact, now)
        return True

    def _refute(self, fact: MemberFact, now: float) -> bool:
        """Answers a fact on this VM that is wrong or from an earlier run with a newer one."""
        if fact == self.own or fact.incarnation < self.own.incarnation:
            return False
        self._assert_own(self.own.state, fact.incarnation + 1, now)
        return True

    def _assert_own(self, state: MemberState, incarnation: int, now: float) -> None:
        self.own = attrs.evolve(self.own, state=state, incarnation=incarnation)
        self._set_row(self.own, now)

    def _set_row(self, fact: MemberFact, now: float) -> MemberFact:
        self.rows[fact.vm] = MemberRow(fact, now, transmissions(len(self.rows) + 1))
        self._note_change()
        return fact

    def _note_change(self) -> None:
        self.version += 1
        self._digest = None


def transmissions(members: int) -> int:
    """Returns how often a VM passes a fact on in a fleet of this size."""
    return math.ceil(math.log2(members + 1) / GOSSIP_FANOUT)
