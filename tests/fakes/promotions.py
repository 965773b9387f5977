"""A writer that acknowledges by the rule of section 5, and an oracle over a fake group.

The oracle sees everything: no acknowledged write is missing from a primary of a later term, no
write is acknowledged once a later term was writable, a term has one primary and one promotion.
"""

from collections import defaultdict
from collections.abc import Collection

import attrs
from returns.result import Success

from siskindale.controller import views
from siskindale.controller.effects import CommitTerms, Effect, Operation, TargetCall
from siskindale.controller.systems import promotion
from siskindale.controller.tables import PromotionRow
from siskindale.models.bundle import Target, TargetState
from siskindale.models.group import LogPosition, TargetStatus
from tests.fakes.controllers import NAME, World
from tests.fakes.group import target

WRITER = "w"


class Writer:
    """Pool in small: collects what targets confirm, one answer at a time."""

    needs_majority = True

    def __init__(self, world: World) -> None:
        self.acknowledged: list[LogPosition] = []
        self._world = world
        self._pending: list[LogPosition] = []
        self._markers: dict[int, TargetStatus] = {}
        self._held: dict[int, dict[str, int]] = defaultdict(dict)

    def write(self, name: str) -> None:
        """Commits a write where that target takes itself for the primary."""
        done = self._world.group.write(WRITER, name, "w")
        if isinstance(done, Success):
            at = done.unwrap()
            self._pending.append(at)
            self._held[at.term][name] = at.position
            self._acknowledge()

    def collect(self, name: str) -> None:
        """Asks one target for its status."""
        answer = self._world.group.client(WRITER, name).status()
        if not isinstance(answer, Success):
            return
        status = answer.unwrap()
        if status.matched:
            self._held[status.term][name] = status.log.position
        if status.marker.term == status.term:
            self._markers[status.term] = status
        self._acknowledge()

    def _acknowledge(self) -> None:
        done = [at for at in self._pending if not self.needs_majority or self._is_held(at)]
        self._pending = [at for at in self._pending if at not in done]
        self.acknowledged.extend(done)

    def _is_held(self, at: LogPosition) -> bool:
        marker = self._markers.get(at.term)
        if marker is None:
            return False
        held = self._held[at.term]
        confirmed = [n for n, p in held.items() if p >= marker.marker.position]
        writable = all(
            views.has_majority(confirmed, v) for v in (marker.voters, marker.previous_voters)
        )
        return writable and views.has_majority(
            [n for n, position in held.items() if position >= at.position], marker.voters
        )


class Oracle:
    """Checks the promises after each step."""

    def __init__(self, world: World, writer: Writer) -> None:
        self._world = world
        self._writer = writer
        self._primaries: dict[int, str] = {}
        self._writable = 0
        self._checked = 0

    def check(self) -> None:
        """Raises `AssertionError` with the promise that is broken."""
        self._check_acknowledged()
        for found in self._world.group.primaries():
            owner = self._primaries.setdefault(found.term, found.name)
            assert owner == found.name, f"two primaries in term {found.term}"
            for at in self._writer.acknowledged:
                assert at.term > found.term or found.holds(at), f"{at} missing at {found.term}"
            self._note_writable(self._world.group.status(found.name))
        started = self._world.started_terms
        assert len(set(started)) == len(started), f"a term was used twice: {started}"

    def _check_acknowledged(self) -> None:
        for at in self._writer.acknowledged[self._checked :]:
            assert at.term >= self._writable, f"{at} acknowledged after term {self._writable}"
        self._checked = len(self._writer.acknowledged)

    def _note_writable(self, primary: TargetStatus) -> None:
        group = self._world.group
        found = [group.status(n) for n in group.targets]
        holders = [s.name for s in found if views.holds(s, primary.marker)]
        sets = (primary.voters, primary.previous_voters)
        if all(views.has_majority(holders, voters) for voters in sets):
            self._writable = max(self._writable, primary.term)


@attrs.define
class Scenario:
    """World with writer and oracle, and the steps that tests take."""

    world: World
    writer: Writer
    oracle: Oracle
    late: list[TargetCall | CommitTerms] = attrs.field(factory=list)

    @classmethod
    def create(cls, voters: str, others: str = "") -> "Scenario":
        """Returns a group with these voters and further targets that may join."""
        world = World(voters)
        world.run(1.0)
        writer = Writer(world)
        scenario = cls(world, writer, Oracle(world, writer))
        for name in others:
            world.group.targets[name] = type(world.group.targets[voters[0]])(name)
        leaving = TargetState.LEAVING
        world.set_targets(
            *map(target, voters), *(attrs.evolve(target(n), state=leaving) for n in others)
        )
        return scenario

    def change(self, name: str, state: TargetState) -> None:
        """Gives a target another state in the bundle."""
        found: list[Target] = [
            attrs.evolve(t, state=state) if t.name == name else t for t in self.world.bundle.targets
        ]
        self.world.set_targets(*found)

    def start(self, vm: str, flipped: str = "") -> None:
        """Starts a promotion at once, planned if it adds or removes the voter `flipped`."""
        controller = self.world.controllers[vm]
        row = controller.row
        if NAME in controller.tables.promotions:
            return
        planned = PromotionRow(NAME, 0, "test", self.world.now)
        marker = views.newest_marker(row)
        if flipped and marker and marker.marker == row.committed:
            kept = tuple(v for v in marker.voters if v != flipped)
            planned.voters = kept if flipped in marker.voters else (*kept, flipped)
            planned.base = row.committed
        found = promotion.start(controller.tables, row, planned, self.world.now)
        controller.take(found, self.world.now)

    def deliver(self, vm: str, index: int, fate: str) -> None:
        """Delivers one pending effect; `late` ones arrive after their sender gave up."""
        pending = self.world.controllers[vm].pending
        if not pending:
            return
        index %= len(pending)
        effect = pending[index][1]
        if fate == "late" and isinstance(effect, TargetCall | CommitTerms):
            self.late.append(effect)
        sent, answered = fate in ("delivered", "unanswered"), fate == "delivered"
        self.world.deliver(vm, index, sent, answered)

    def arrive(self, index: int) -> None:
        """Lets one late request take effect."""
        if not self.late:
            return
        effect = self.late.pop(index % len(self.late))
        if isinstance(effect, TargetCall):
            self.world._operate(WRITER, effect)
        else:
            self.world.store.commit([effect.condition], [effect.write])

    def call(
        self, vm: str, targets: Collection[str], operations: Collection[Operation] = Operation
    ) -> None:
        """Delivers the pending calls of a promotion to these targets, and those that follow."""
        pending = self.world.controllers[vm].pending
        for _ in range(30):
            found = (i for i, (_, e) in enumerate(pending) if _is_call(e, targets, operations))
            index = next(found, None)
            if index is None:
                return
            self.world.deliver(vm, index)

    def replicate(self, targets: Collection[str]) -> None:
        """Ships the log to these targets, and lets the writer ask them."""
        for name in targets:
            self.world.group.ship(name)
            self.writer.collect(name)

    def refresh(self, vm: str) -> None:
        """Lets a controller probe and reserve terms, with whatever it starts of its own accord."""
        self.world.tick(vm)
        self.world.deliver_all(vm)


def _is_call(effect: Effect, targets: Collection[str], operations: Collection[Operation]) -> bool:
    if not isinstance(effect, TargetCall) or not effect.promotion:
        return False
    return effect.target.name in targets and effect.operation in operations
