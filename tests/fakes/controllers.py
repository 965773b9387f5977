"""Simulated controllers: the real decision logic on a fake group, with test-driven effects."""

from random import Random

import attrs
from returns.result import Failure, Result, Success

from siskindale.controller import decisions
from siskindale.controller.effects import (
    AnnouncePrimary,
    AskPeer,
    CommitTerms,
    Effect,
    LogEvent,
    Operation,
    ReadTerms,
    TargetCall,
)
from siskindale.controller.systems import detection, terms
from siskindale.controller.tables import GroupRow, Peer, Tables, TargetRow, TermsRow
from siskindale.models.bundle import Group, Target
from siskindale.models.group import TargetStatus
from siskindale.models.wire import PrimaryCheckRequest
from siskindale.store.interface import PlatformError, PlatformFailure
from siskindale.targets.interface import TargetError, TargetFailure
from tests.fakes.group import FakeGroup, bundle_target
from tests.fakes.platform import FakePlatform

GROUP_NAME = "g"
TICK_INTERVAL_S = 0.01
UNANSWERED = TargetError(TargetFailure.UNKNOWN, "lost")


@attrs.define
class FakeController:
    """One controller; `pending` holds the effects that have not been delivered yet."""

    vm: str
    rank: int
    tables: Tables
    random: Random
    started_terms: list[int]
    pending: list[tuple[float, Effect]] = attrs.field(factory=list)
    log_events: list[LogEvent] = attrs.field(factory=list)
    up: bool = True

    @property
    def row(self) -> GroupRow:
        """Row of the simulated group."""
        return self.tables.groups[GROUP_NAME]

    def queue_effects(self, effects: list[Effect], now: float) -> None:
        """Queues effects for delivery and collects log events."""
        log_events = [e for e in effects if isinstance(e, LogEvent)]
        self.log_events.extend(log_events)
        started = (e for e in log_events if e.name == "promotion-started")
        self.started_terms.extend(e.fields["term"] for e in started)
        self.pending.extend((now, e) for e in effects if not isinstance(e, LogEvent))


class ControllerSimulation:
    """A fake group and store with the controllers `x0`, `x1` … in order of rank."""

    def __init__(self, targets: str = "abc", controllers: int = 3, seed: int = 0) -> None:
        self.group = FakeGroup(tuple(targets))
        self.store = FakePlatform()
        self.bundle = Group(GROUP_NAME, tuple(bundle_target(n) for n in targets))
        self.seed = seed
        self.started_terms: list[int] = []
        names = [f"x{i}" for i in range(controllers)]
        self.controllers = {n: self._new_controller(n, i, names) for i, n in enumerate(names)}

    @property
    def now(self) -> float:
        """Virtual time."""
        return self.group.now

    def restart(self, vm: str) -> None:
        """Replaces a controller by one with empty state."""
        rank = self.controllers[vm].rank
        self.controllers[vm] = self._new_controller(vm, rank, list(self.controllers))

    def set_targets(self, *targets: Target) -> None:
        """Gives all controllers a new bundle."""
        self.bundle = Group(GROUP_NAME, targets)
        for controller in self.controllers.values():
            row = controller.row
            row.group = self.bundle
            row.targets = {
                t.name: row.targets.get(t.name) or TargetRow(GROUP_NAME, t) for t in targets
            }
            for t in targets:
                row.targets[t.name].target = t

    def tick(self, vm: str) -> None:
        """Runs one tick of a controller."""
        controller = self.controllers[vm]
        effects = decisions.tick(controller.tables, self.now, controller.random)
        controller.queue_effects(effects, self.now)

    def run(self, seconds: float, step: float = TICK_INTERVAL_S) -> None:
        """Runs ticks, immediate answers and log shipping for a time."""
        end = self.now + seconds
        while self.now < end:
            for vm, controller in self.controllers.items():
                if controller.up:
                    self.tick(vm)
                    self.deliver_all(vm)
            self.group.replicate_all()
            self.group.now += step

    def deliver_all(self, vm: str) -> None:
        """Delivers all pending effects, including those that answers cause."""
        for _ in range(50):
            if not self.controllers[vm].pending:
                return
            self.deliver(vm)

    def deliver(self, vm: str, index: int = 0, sent: bool = True, answered: bool = True) -> None:
        """Delivers a pending effect; request or answer are lost unless `sent` and `answered`."""
        controller = self.controllers[vm]
        at, effect = controller.pending.pop(index)
        handler = self._HANDLERS[type(effect)]
        controller.queue_effects(handler(self, controller, effect, at, sent, answered), self.now)

    def _new_controller(self, vm: str, rank: int, names: list[str]) -> FakeController:
        self.seed += 1
        tables = Tables(vm)
        peers = tuple(Peer(n, n) for n in names if n != vm)
        row = GroupRow(self.bundle, rank, peers, self.now, highest_term_at=self.now)
        row.targets = {t.name: TargetRow(GROUP_NAME, t) for t in self.bundle.targets}
        tables.groups[GROUP_NAME] = row
        tables.terms[GROUP_NAME] = TermsRow(GROUP_NAME)
        return FakeController(vm, rank, tables, Random(self.seed), self.started_terms)

    def _deliver_target_call(
        self, controller: FakeController, call: TargetCall, at: float, sent: bool, answered: bool
    ) -> list[Effect]:
        result = self._execute_call(controller.vm, call) if sent else Failure(UNANSWERED)
        found = result.unwrap() if isinstance(result, Success) else result.failure()
        reply = found if answered else UNANSWERED
        return decisions.on_answer(controller.tables, call, reply, at, self.now)

    def _execute_call(self, vm: str, call: TargetCall) -> Result[TargetStatus, TargetError]:
        client = self.group.control_client(vm, call.target.name)
        if call.operation is Operation.FENCE:
            return client.fence(call.term)
        if call.operation is Operation.PROMOTE:
            return client.promote(call.term, call.voters)
        if call.operation is Operation.FOLLOW and call.primary is not None:
            return client.follow(call.term, call.primary)
        return client.status()

    def _deliver_read(
        self, controller: FakeController, call: ReadTerms, at: float, sent: bool, answered: bool
    ) -> list[Effect]:
        found = self.store.read(terms.TERMS_TABLE, call.group)
        if not (sent and answered) or isinstance(found, Failure):
            return terms.on_read(
                controller.tables, call.group, PlatformFailure.UNAVAILABLE, self.now
            )
        return terms.on_read(controller.tables, call.group, found.unwrap(), self.now)

    def _deliver_commit(
        self, controller: FakeController, call: CommitTerms, at: float, sent: bool, answered: bool
    ) -> list[Effect]:
        unknown = PlatformError(PlatformFailure.UNKNOWN, "lost")
        done = self.store.commit([call.condition], [call.write]) if sent else Failure(unknown)
        failure = None if isinstance(done, Success) else done.failure().kind
        if not answered and not self.store.faults.tables_down:
            failure = PlatformFailure.UNKNOWN
        return terms.on_commit(controller.tables, call, failure, self.now)

    def _deliver_peer_request(
        self, controller: FakeController, call: AskPeer, at: float, sent: bool, answered: bool
    ) -> list[Effect]:
        peer = self.controllers[call.vm]
        if sent and answered and peer.up and self.group.can_reach(controller.vm, peer.vm):
            request = PrimaryCheckRequest(call.group, call.term, call.primary)
            reply = detection.answer_peer(peer.tables, request, self.now)
            if reply is not None:
                detection.record_peer_answer(controller.tables, peer.vm, reply, self.now)
        return []

    def _ignore_announcement(self, *_: object) -> list[Effect]:
        return []

    _HANDLERS = {
        TargetCall: _deliver_target_call,
        ReadTerms: _deliver_read,
        CommitTerms: _deliver_commit,
        AskPeer: _deliver_peer_request,
        AnnouncePrimary: _ignore_announcement,
    }
