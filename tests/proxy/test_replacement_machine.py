"""Model of several VMs that replace one primary, each with its own view of the duty."""

import itertools
import math
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock, patch

import attrs
import gevent
import pytest
from gevent.event import Event
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Failure, Success

from siskindale.models.catalog import RegistrationState
from siskindale.models.gossip import HeldDuty, PreparationNotice, PromotionNotice
from siskindale.models.group import LogPosition
from siskindale.platform.promotion import PromotionOutcome
from siskindale.proxy import promoter, stopped_replicas
from siskindale.proxy.decisions import replacement, succession
from siskindale.proxy.decisions.failover import Reason
from siskindale.proxy.decisions.replacement import PromotionOrder
from siskindale.proxy.decisions.succession import ReplicaLog
from siskindale.proxy.duty import Duties
from siskindale.proxy.promoter import Promoter
from siskindale.proxy.stopped_replicas import StoppedReplicas
from siskindale.proxy.watch import GroupWatch
from siskindale.store.interface import PlatformError, PlatformFailure, Row
from tests.proxy.settings import build_settings
from tests.proxy.test_succession_machine import build_group

VMS = ("vm1", "vm2", "vm3")
REPLICAS = ("a", "b")
TARGETS = ("p", *REPLICAS)
STEP_S = 0.01
# A call that the platform accepted is carried out after this time.
PROMOTE_S = 0.4
SLOW_PROMOTE_S = 1.5


@attrs.define
class ModelTarget:
    """A target: the commits in its log, and messages that wait while it answers nothing."""

    log: list[int] = attrs.field(factory=list)
    term: int = 1
    held_term: int = 1
    stopped: bool = False
    silent: bool = False
    deaf: bool = False
    held_up: list[tuple[str, int]] = attrs.field(factory=list)


@attrs.define
class Call:
    """A call to promote that the platform may still carry out."""

    target: str
    token: int
    made_at: float
    accepted: bool


class World:
    """The store, the platform and the targets; `synchronous` replicas acknowledge a commit."""

    def __init__(self, synchronous: int) -> None:
        self.synchronous = synchronous
        self.now = 100.0
        self.targets = {name: ModelTarget() for name in TARGETS}
        self.leader = "p"
        self.acknowledged: list[int] = []
        self.lost: set[int] = set()
        self.numbers = itertools.count(1)
        self.versions = itertools.count(1)
        self.row: Row | None = None
        self.newest_token = 0
        self.calls: list[Call] = []
        self.ordered: list[str] = []
        self.lost_answers = False
        self.promote_s = PROMOTE_S

    def commit(self) -> None:
        """The primary makes a commit, which replicas get later."""
        self.targets[self.leader].log.append(next(self.numbers))

    def deliver(self, name: str) -> None:
        """A replica gets the log of the primary."""
        target, leader = self.targets[name], self.targets[self.leader]
        if name != self.leader and not (target.stopped or target.deaf):
            target.log, target.term = list(leader.log), leader.term
        held = [set(t.log) for n, t in self.targets.items() if n != self.leader]
        for number in leader.log:
            holders = sum(number in log for log in held)
            if holders >= self.synchronous and number not in self.acknowledged:
                self.acknowledged.append(number)

    def receive(self, name: str, verb: str, term: int) -> bool:
        """A message reaches a target; returns whether it answers."""
        target = self.targets[name]
        if target.silent:
            if verb != "STATUS":
                target.held_up.append((verb, term))
            return False
        if verb == "PAUSE" and (name == self.leader or term <= max(target.term, target.held_term)):
            return False
        if verb == "PAUSE":
            target.stopped, target.held_term = True, term
        elif verb == "RESUME":
            target.stopped = False
        return True

    def answer(self, name: str, verb: str) -> ReplicaLog:
        """Returns what a target tells of its log."""
        target = self.targets[name]
        received = LogPosition(target.term, len(target.log))
        newest_term = max(target.term, target.held_term)
        return ReplicaLog(received, newest_term, stopped=verb == "PAUSE", leads=name == self.leader)

    def wake(self, name: str) -> None:
        """A silent target works on what it has got, in that order."""
        target = self.targets[name]
        target.silent = False
        held_up, target.held_up = target.held_up, []
        for verb, term in held_up:
            self.receive(name, verb, term)

    def order(self, name: str, token: int) -> PromotionOutcome:
        """The platform takes a call, or its answer is lost."""
        if token < self.newest_token:
            return PromotionOutcome.REJECTED
        self.ordered.append(name)
        if self.lost_answers:
            self.calls.append(Call(name, token, self.now, accepted=False))
            return PromotionOutcome.UNKNOWN
        self.newest_token = token
        self.calls.append(Call(name, token, self.now, accepted=True))
        return PromotionOutcome.ACCEPTED

    def carry_out(self, call: Call) -> None:
        """The platform makes a target lead, unless a lost call is outdated by now."""
        self.calls.remove(call)
        if not call.accepted and call.token < self.newest_token:
            return
        self.newest_token = max(self.newest_token, call.token)
        if call.target == self.leader:
            return
        successor = self.targets[call.target]
        self.lost |= set(self.acknowledged) - set(successor.log)
        self.acknowledged = [n for n in self.acknowledged if n in successor.log]
        term = 1 + max(target.term for target in self.targets.values())
        for target in self.targets.values():
            target.stopped = False
            target.log = [n for n in target.log if n in successor.log]
        successor.term, self.leader = term, call.target

    def pass_time(self, seconds: float) -> None:
        """Time passes; accepted calls are carried out in time, lost ones at the latest."""
        until = self.now + seconds
        while due := [(self._due_at(call), call) for call in self.calls]:
            due_at, call = min(due, key=lambda each: each[0])
            if due_at > until:
                break
            self.now = max(self.now, due_at)
            self.carry_out(call)
        self.now = until

    def _due_at(self, call: Call) -> float:
        return call.made_at + (self.promote_s if call.accepted else replacement.LATE_CALL_S - 2.0)


class ModelVm:
    """A VM whose calls each wait until the model lets it go on."""

    def __init__(self, name: str, world: World, model: "ReplacementMachine") -> None:
        self.name, self.world, self.model = name, world, model
        self.cut_from: set[str] = set()
        self.store_down = False
        self.asking = ""
        self.go, self.parked = Event(), Event()
        self.running: gevent.Greenlet | None = None
        group = build_group(world.synchronous)
        for spare in set(group.targets) - set(TARGETS):
            del group.targets[spare]
        self.watch = GroupWatch(group, reason_since=world.now)
        owned = Mock(owns_everything=lambda _: True)
        self.duties = Duties(build_settings(vm=name), self, owned)  # type: ignore[arg-type]
        self.duties.on_taken(self._note_taken)
        stops = StoppedReplicas(self, self, self.duties)  # type: ignore[arg-type]
        self.stops = stops
        self.promoter = Promoter(
            build_settings(vm=name), self, self, self.duties, stops  # type: ignore[arg-type]
        )
        self.promoter._promotions = self  # type: ignore[assignment]

    # What the promoter uses of the pool, the peers, the store and the platform.
    isolated = False

    def _now(self) -> float:
        return self.world.now

    def now(self) -> float:
        return self.world.now

    def park(self) -> None:
        """Waits until the model lets this VM go on."""
        self.world.pass_time(STEP_S)
        if gevent.getcurrent() is not self.running:
            return
        self.parked.set()
        self.go.wait()
        self.go.clear()

    def notify_promotion(self, notice: PreparationNotice | PromotionNotice) -> None:
        for peer in self._reachable():
            peer.duties.of(peer.watch.group).adopt_holder(self.name, notice.fencing_token)
            if isinstance(notice, PromotionNotice):
                peer.watch.order = PromotionOrder(
                    notice.target, notice.fencing_token, self.world.now
                )

    def announce(self) -> None:
        for peer in self._reachable():
            for held in self.duties.report():
                peer.duties.adopt_holder(self.name, HeldDuty(held.key, held.fencing_token))

    def _reachable(self) -> Iterator["ModelVm"]:
        return (vm for vm in self.model.vms.values() if vm.name not in {*self.cut_from, self.name})

    def _note_taken(self, _: str) -> None:
        self.watch.duty_taken_at = self.world.now
        self.watch.stopped = set(TARGETS)
        self.announce()

    def read(self, _table: str, _key: str) -> Any:
        if self.store_down:
            return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "down"))
        return Success(self.world.row)

    def commit(self, conditions: Any, writes: Any) -> Any:
        if self.store_down:
            return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "down"))
        version = self.world.row.version if self.world.row else 0
        if conditions[0].version != version:
            return Failure(PlatformError(PlatformFailure.CONFLICT, "changed"))
        newest = next(self.world.versions)
        self.world.row = Row(writes[0].table, writes[0].key, newest, writes[0].value)
        return Success(newest)

    def promote(self, _: str, target: str, token: int, __: float) -> PromotionOutcome:
        return self.world.order(target, token)

    def ask(self, targets: Any, verb: str, term: int = 0) -> dict[str, ReplicaLog]:
        """Sends a message to targets, one after the other, and returns what they tell."""
        answers: dict[str, ReplicaLog] = {}
        for target in list(targets):
            self.asking = verb
            self.park()
            if self.world.receive(target.id, verb, term):
                answers[target.id] = self.world.answer(target.id, verb)
        return answers

    def resume(self, targets: Any, send_before: float) -> set[str]:
        """Tells targets to receive again, as long as that is allowed."""
        answered: set[str] = set()
        for target in list(targets):
            self.park()
            in_time = self.world.now <= send_before
            if in_time and self.world.receive(target.id, "RESUME", 0):
                answered.add(target.id)
        return answered

    def start(self, work: Callable[[], None]) -> None:
        """Starts an attempt, unless one is in progress."""
        if self.running is None or self.running.ready():
            self.running = gevent.spawn(work)
            self._let_run()

    def step(self) -> None:
        """Lets the attempt go on to its next call."""
        if self.running is not None and not self.running.ready():
            self.go.set()
            self._let_run()

    def _let_run(self) -> None:
        assert self.running is not None
        self.parked.clear()
        running = self.running
        running.link(lambda _: self.parked.set())
        with gevent.Timeout(5, AssertionError("the attempt hangs")):
            self.parked.wait()
        if running.ready():
            running.get()


ANY_VM = st.sampled_from(VMS)
ANY_REPLICA = st.sampled_from(REPLICAS)

MOVES = st.lists(
    st.sampled_from(["first", "first", "second", "second", *TARGETS]), min_size=20, max_size=60
)


class ReplacementMachine(RuleBasedStateMachine):
    """Any VM may try at any time, also without regard to the delays that keep VMs apart."""

    def __init__(self) -> None:
        super().__init__()
        self.set_up(1)

    def set_up(self, synchronous: int) -> None:
        self.world = World(synchronous)
        self.vms: dict[str, ModelVm] = {}
        for name in VMS:
            self.vms[name] = ModelVm(name, self.world, self)
        self.patches = [
            patch.object(promoter, "query_logs", lambda vm, _, targets: vm.ask(targets, "STATUS")),
            patch.object(
                stopped_replicas, "query_logs", lambda vm, _, targets: vm.ask(targets, "STATUS")
            ),
            patch.object(
                stopped_replicas,
                "stop_receiving",
                lambda vm, _, targets, term: vm.ask(targets, "PAUSE", term),
            ),
            patch.object(
                stopped_replicas,
                "resume_receiving",
                lambda vm, _, targets, send_before: vm.resume(targets, send_before),
            ),
            # Only of these modules: other greenlets of the process must go on to sleep.
            patch.object(promoter, "gevent", SimpleNamespace(sleep=self.sleep)),
            patch.object(stopped_replicas, "gevent", SimpleNamespace(sleep=self.sleep)),
        ]

    def sleep(self, seconds: float) -> None:
        """Lets time pass for the VM that sleeps."""
        self.world.pass_time(seconds)
        vm = next((vm for vm in self.vms.values() if vm.running is gevent.getcurrent()), None)
        if vm is not None:
            vm.park()

    def under_patches(self, action: Callable[[], None]) -> None:
        for each in self.patches:
            each.start()
        try:
            action()
        finally:
            for each in self.patches:
                each.stop()

    @initialize(synchronous=st.sampled_from([1, 1, 2]))
    def choose(self, synchronous: int) -> None:
        self.set_up(synchronous)

    @rule(name=ANY_VM)
    def attempt(self, name: str) -> None:
        """A VM sees a reason to replace the primary, and orders what it finds out."""
        vm = self.vms[name]
        leader = self.world.leader
        vm.watch.group.leadership.primary_id = leader
        vm.watch.group.leadership.pending_primary_id = ""
        self.under_patches(lambda: vm.start(lambda: vm.promoter.promote(vm.watch, Reason.LEAVING)))

    @rule(name=ANY_VM)
    def give_up(self, name: str) -> None:
        """A VM sees no reason any more, and lets replicas receive again."""
        vm = self.vms[name]
        if vm.duties.of(vm.watch.group).token is not None:
            self.under_patches(lambda: vm.start(lambda: vm.stops.resume(vm.watch, set(REPLICAS))))

    @rule(pair=st.permutations(VMS), moves=MOVES, cut=st.booleans())
    def compete(self, pair: list[str], moves: list[str], cut: bool) -> None:
        """Two VMs try at the same time, perhaps cut off from each other, while commits go on."""
        if cut:
            self.cut_peers(pair[0])
        for move in moves:
            if move in TARGETS:
                self.world.commit()
                self.world.deliver(move)
            else:
                name = pair[0] if move == "first" else pair[1]
                vm = self.vms[name]
                if vm.running is None or vm.running.ready():
                    self.attempt(name)
                else:
                    self.go_on(name, 1)

    @rule(name=ANY_VM, count=st.integers(1, 8))
    def go_on(self, name: str, count: int) -> None:
        """A VM makes its next calls, while the others wait."""

        def steps() -> None:
            for _ in range(count):
                self.vms[name].step()

        self.under_patches(steps)

    @rule(names=st.lists(st.sampled_from(TARGETS), min_size=1, max_size=3))
    def write(self, names: list[str]) -> None:
        for name in names:
            self.world.commit()
            self.world.deliver(name)

    @rule(name=st.sampled_from(TARGETS))
    def deliver(self, name: str) -> None:
        self.world.deliver(name)

    @rule(name=ANY_REPLICA)
    def silence(self, name: str) -> None:
        self.world.targets[name].silent = True

    @rule(name=ANY_REPLICA)
    def deafen(self, name: str) -> None:
        self.world.targets[name].deaf = True

    @rule()
    def heal(self) -> None:
        """All replicas answer and receive again, unless they were told not to."""
        for name in REPLICAS:
            self.world.targets[name].deaf = False
            self.world.wake(name)

    @rule(lost=st.booleans())
    def lose_answers(self, lost: bool) -> None:
        self.world.lost_answers = lost

    @rule(name=ANY_VM)
    def cut_store(self, name: str) -> None:
        """A VM does not reach the store; what it must not do then, its peers tell it."""
        if not any(vm.cut_from for vm in self.vms.values()):
            self.vms[name].store_down = True

    @rule(name=ANY_VM)
    def cut_peers(self, name: str) -> None:
        """A VM and its peers do not reach each other; it learns from the store alone."""
        if not any(vm.store_down for vm in self.vms.values()):
            for peer in set(VMS) - {name}:
                self.vms[peer].cut_from.add(name)
                self.vms[name].cut_from.add(peer)

    @rule()
    def heal_vms(self) -> None:
        """All VMs reach each other and the store."""
        for vm in self.vms.values():
            vm.store_down = False
            vm.cut_from.clear()

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 3.0, 16.0]))
    def wait(self, seconds: float) -> None:
        self.world.pass_time(seconds)

    @rule(number=st.integers(0, 3))
    def carry_out(self, number: int) -> None:
        """The platform carries a call out, an accepted one only when it is due."""
        lost = [call for call in self.world.calls if not call.accepted]
        if lost:
            self.world.carry_out(lost[number % len(lost)])

    @invariant()
    def no_acknowledged_commit_is_lost(self) -> None:
        assert not self.world.lost, self.world.lost

    def teardown(self) -> None:
        gevent.killall([vm.running for vm in self.vms.values() if vm.running is not None])


MACHINE_SETTINGS = settings(max_examples=300, stateful_step_count=30, deadline=None)
MUTATION_SETTINGS = settings(
    MACHINE_SETTINGS,
    max_examples=2000,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
    print_blob=False,
)


def test_no_vm_makes_another_ones_promotion_lose_an_acknowledged_commit() -> None:
    """Guards against VMs that undo what another one relies on, in any order of their steps."""
    run_state_machine_as_test(ReplacementMachine, settings=MACHINE_SETTINGS)


def drive(model: ReplacementMachine, name: str, until: Callable[[], object] = bool) -> None:
    """Lets a VM make its calls until a condition holds or its attempt ends."""
    vm = model.vms[name]
    for _ in range(100):
        if until() or vm.running is None or vm.running.ready():
            return
        model.go_on(name, 1)


def leave(model: ReplacementMachine, name: str, target: str) -> None:
    """Makes a VM see a target as leaving, so that it prefers another one as equal to it."""
    known = model.vms[name].watch.group.targets[target]
    known.entry = attrs.evolve(known.entry, state=RegistrationState.DRAINING)


def former_holder_goes_on(model: ReplacementMachine) -> None:
    """A VM takes the duty; the one before, cut off from it, has stopped a replica."""
    model.attempt("vm1")
    drive(model, "vm1", lambda: model.vms["vm1"].asking == "PAUSE")
    model.cut_peers("vm1")
    model.attempt("vm2")
    drive(model, "vm1", lambda: model.world.ordered)
    assert model.world.ordered == []


def next_holder_prefers_another_target(model: ReplacementMachine) -> None:
    """The platform carries out the call of one VM when another one chooses another target."""
    model.world.promote_s = SLOW_PROMOTE_S
    model.attempt("vm1")
    drive(model, "vm1", lambda: model.world.calls)
    leave(model, "vm2", "b")
    model.vms["vm2"].duties.of(model.vms["vm2"].watch.group).take("the holder is gone")
    model.attempt("vm2")
    drive(model, "vm2", lambda: model.world.ordered != ["b"])
    assert model.world.ordered == ["b"]


def lost_call_is_carried_out_late(model: ReplacementMachine) -> None:
    """A call without an answer is carried out while another VM prepares another target."""
    model.lose_answers(True)
    model.attempt("vm1")
    drive(model, "vm1", lambda: model.world.calls)
    model.vms["vm1"].running.kill()  # type: ignore[union-attr]
    model.lose_answers(False)
    model.wait(3.0)
    leave(model, "vm2", "b")
    model.vms["vm2"].duties.of(model.vms["vm2"].watch.group).take("the holder is gone")
    model.attempt("vm2")
    drive(model, "vm2", lambda: model.vms["vm2"].asking == "PAUSE")
    model.write(["b"])
    model.go_on("vm2", 1)
    model.carry_out(0)
    model.deliver("a")
    model.write(["p"])
    drive(model, "vm2", lambda: model.world.ordered[-1] == "a")
    model.wait(3.0)
    assert not model.world.lost


def message_to_resume_is_held_up(model: ReplacementMachine) -> None:
    """A VM is about to let a replica receive again when another one relies on its stop."""
    model.vms["vm1"].duties.of(model.vms["vm1"].watch.group).take("vacant")
    model.wait(16.0)
    model.give_up("vm1")
    model.attempt("vm2")
    drive(model, "vm2", lambda: model.world.calls)
    drive(model, "vm1")
    model.write(["a"])
    model.wait(3.0)
    assert not model.world.lost


Scenario = Callable[[ReplacementMachine], None]
SCENARIOS: list[tuple[Scenario, Any, str, Any]] = [
    (former_holder_goes_on, StoppedReplicas, "confirm_duty", lambda *_: True),
    (next_holder_prefers_another_target, replacement, "may_override", lambda *_: True),
    (lost_call_is_carried_out_late, replacement, "must_look_for_leader", lambda *_: False),
    (message_to_resume_is_held_up, replacement, "CONFIRMED_FOR_S", math.inf),
]


def play(scenario: Scenario) -> None:
    """Plays a scenario with two replicas that have the same commits."""
    model = ReplacementMachine()
    model.choose(1)
    model.write(["a", "b"])
    model.deliver("a")
    try:
        scenario(model)
    finally:
        model.teardown()


@pytest.mark.parametrize(("scenario", "module", "name", "mutation"), SCENARIOS)
def test_a_vm_does_not_undo_what_another_one_relies_on(
    scenario: Scenario, module: Any, name: str, mutation: Any
) -> None:
    """Guards against the loss of commits in the orders of events that the rules are made for.

    Each of them shows a loss, or the step before it, without its rule.
    """
    play(scenario)
    with patch.object(module, name, mutation), pytest.raises(AssertionError):
        play(scenario)


@pytest.mark.parametrize(
    ("module", "name", "mutation"),
    [
        (replacement, "may_resume", lambda *_: True),
        (succession, "may_lack_acknowledged", lambda *_: False),
    ],
)
def test_the_model_of_several_vms_rejects_a_weaker_rule(
    module: Any, name: str, mutation: Callable[..., bool]
) -> None:
    """Guards against a model that accepts any decision."""
    with patch.object(module, name, mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(ReplacementMachine, settings=MUTATION_SETTINGS)
