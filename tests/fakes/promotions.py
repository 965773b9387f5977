"""A writer with the acknowledgement rule of section 5, and an oracle over a fake group.

The oracle sees the state of all targets and checks that no acknowledged write is missing from a
primary of a later term, that no write is acknowledged once a later term was writable, and that each
term has one primary and one promotion.
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
from tests.fakes.controllers import GROUP_NAME, ControllerSimulation
from tests.fakes.group import bundle_target

WRITER = "w"


class Writer:
    """Minimal pool: collects the confirmations of targets, one answer at a time."""

    needs_majority = True

    def __init__(self, simulation: ControllerSimulation) -> None:
        self.acknowledged: list[LogPosition] = []
        self._simulation = simulation
        self._pending: list[LogPosition] = []
        self._markers: dict[int, TargetStatus] = {}
        self._held_positions: dict[int, dict[str, int]] = defaultdict(dict)

    def write(self, name: str) -> None:
        """Commits a write on a target if it considers itself the primary."""
        done = self._simulation.group.write(WRITER, name, "w")
        if isinstance(done, Success):
            at = done.unwrap()
            self._pending.append(at)
            self._held_positions[at.term][name] = at.position
            self._acknowledge()

    def collect(self, name: str) -> None:
        """Asks one target for its status."""
        answer = self._simulation.group.control_client(WRITER, name).status()
        if not isinstance(answer, Success):
            return
        status = answer.unwrap()
        if status.matched:
            self._held_positions[status.term][name] = status.log.position
        if status.marker.term == status.term:
            self._markers[status.term] = status
        self._acknowledge()

    def _acknowledge(self) -> None:
        done = [
            at for at in self._pending if not self.needs_majority or self._is_acknowledgeable(at)
        ]
        self._pending = [at for at in self._pending if at not in done]
        self.acknowledged.extend(done)

    def _is_acknowledgeable(self, at: LogPosition) -> bool:
        marker = self._markers.get(at.term)
        if marker is None:
            return False
        held = self._held_positions[at.term]
        confirmed = [n for n, p in held.items() if p >= marker.marker.position]
        writable = all(
            views.has_majority(confirmed, v) for v in (marker.voters, marker.previous_voters)
        )
        return writable and views.has_majority(
            [n for n, position in held.items() if position >= at.position], marker.voters
        )


class Oracle:
    """Checks the guarantees after each step."""

    def __init__(self, simulation: ControllerSimulation, writer: Writer) -> None:
        self._simulation = simulation
        self._writer = writer
        self._primaries: dict[int, str] = {}
        self._writable_term = 0
        self._checked_count = 0

    def check(self) -> None:
        """Raises `AssertionError` if a guarantee is violated."""
        self._check_acknowledged()
        for primary in self._simulation.group.primaries():
            owner = self._primaries.setdefault(primary.term, primary.name)
            assert owner == primary.name, f"two primaries in term {primary.term}"
            for at in self._writer.acknowledged:
                assert at.term > primary.term or primary.has_entry(
                    at
                ), f"{at} missing at {primary.term}"
            self._update_writable_term(self._simulation.group.status(primary.name))
        started = self._simulation.started_terms
        assert len(set(started)) == len(started), f"a term was used twice: {started}"

    def _check_acknowledged(self) -> None:
        for at in self._writer.acknowledged[self._checked_count :]:
            assert (
                at.term >= self._writable_term
            ), f"{at} acknowledged after term {self._writable_term}"
        self._checked_count = len(self._writer.acknowledged)

    def _update_writable_term(self, primary: TargetStatus) -> None:
        group = self._simulation.group
        statuses = [group.status(n) for n in group.targets]
        holders = [s.name for s in statuses if views.holds(s, primary.marker)]
        sets = (primary.voters, primary.previous_voters)
        if all(views.has_majority(holders, voters) for voters in sets):
            self._writable_term = max(self._writable_term, primary.term)


@attrs.define
class Scenario:
    """A simulation with a writer and an oracle, and the steps that tests take."""

    simulation: ControllerSimulation
    writer: Writer
    oracle: Oracle
    late_requests: list[TargetCall | CommitTerms] = attrs.field(factory=list)

    @classmethod
    def create(cls, voters: str, others: str = "") -> "Scenario":
        """Returns a group with these voters and further targets that may join."""
        simulation = ControllerSimulation(voters)
        simulation.run(1.0)
        writer = Writer(simulation)
        scenario = cls(simulation, writer, Oracle(simulation, writer))
        for name in others:
            simulation.group.targets[name] = type(simulation.group.targets[voters[0]])(name)
        leaving = TargetState.LEAVING
        simulation.set_targets(
            *map(bundle_target, voters),
            *(attrs.evolve(bundle_target(n), state=leaving) for n in others),
        )
        return scenario

    def set_target_state(self, name: str, state: TargetState) -> None:
        """Sets the state of a target in the bundle."""
        targets: list[Target] = [
            attrs.evolve(t, state=state) if t.name == name else t
            for t in self.simulation.bundle.targets
        ]
        self.simulation.set_targets(*targets)

    def start_promotion(self, vm: str, changed_voter: str = "") -> None:
        """Starts a promotion at once, which adds or removes `changed_voter` if possible."""
        controller = self.simulation.controllers[vm]
        row = controller.row
        if GROUP_NAME in controller.tables.promotions:
            return
        planned = PromotionRow(GROUP_NAME, 0, "test", self.simulation.now)
        marker = views.newest_marker(row)
        if changed_voter and marker and marker.marker == row.committed_marker:
            kept = tuple(v for v in marker.voters if v != changed_voter)
            planned.voters = kept if changed_voter in marker.voters else (*kept, changed_voter)
            planned.base_marker = row.committed_marker
        effects = promotion.start(controller.tables, row, planned, self.simulation.now)
        controller.queue_effects(effects, self.simulation.now)

    def deliver(self, vm: str, index: int, fate: str) -> None:
        """Delivers or loses one pending effect; `late` requests are kept for `deliver_late`."""
        pending = self.simulation.controllers[vm].pending
        if not pending:
            return
        index %= len(pending)
        effect = pending[index][1]
        if fate == "late" and isinstance(effect, TargetCall | CommitTerms):
            self.late_requests.append(effect)
        sent, answered = fate in ("delivered", "unanswered"), fate == "delivered"
        self.simulation.deliver(vm, index, sent, answered)

    def deliver_late(self, index: int) -> None:
        """Executes one request that its sender has already given up."""
        if not self.late_requests:
            return
        effect = self.late_requests.pop(index % len(self.late_requests))
        if isinstance(effect, TargetCall):
            self.simulation._execute_call(WRITER, effect)
        else:
            self.simulation.store.commit([effect.condition], [effect.write])

    def deliver_calls(
        self, vm: str, targets: Collection[str], operations: Collection[Operation] = Operation
    ) -> None:
        """Delivers a promotion's calls to these targets, including calls that result from them."""
        pending = self.simulation.controllers[vm].pending
        for _ in range(30):
            matching = (i for i, (_, e) in enumerate(pending) if _is_call(e, targets, operations))
            index = next(matching, None)
            if index is None:
                return
            self.simulation.deliver(vm, index)

    def replicate(self, targets: Collection[str]) -> None:
        """Ships the log to these targets and lets the writer collect their statuses."""
        for name in targets:
            self.simulation.group.ship(name)
            self.writer.collect(name)

    def refresh(self, vm: str) -> None:
        """Runs a tick of a controller and delivers all of its effects, such as probes and reads."""
        self.simulation.tick(vm)
        self.simulation.deliver_all(vm)


def _is_call(effect: Effect, targets: Collection[str], operations: Collection[Operation]) -> bool:
    if not isinstance(effect, TargetCall) or not effect.promotion_term:
        return False
    return effect.target.name in targets and effect.operation in operations
