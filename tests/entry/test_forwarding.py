"""Forwarding decisions against pools that lose, delay, repeat and refuse."""

from typing import Any

import attrs
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from siskindale.entry import forwarding
from siskindale.entry.tables import Effect, PendingRequest, Resolution, RetryPolicy, SendRequest
from siskindale.models.outcomes import Outcome, Refusal, RefusalKind
from siskindale.models.wire import (
    Answer,
    BeginRequest,
    FinishRequest,
    StatementRequest,
)

VMS = ("vm0", "vm1", "vm2", "vm3")
POLICIES = st.sampled_from(list(RetryPolicy))
KINDS = st.sampled_from([*forwarding.RETRIABLE_REFUSALS, RefusalKind.OVERLOADED])


@attrs.define
class FixedRoutes:
    """Four VMs in a fixed rank."""

    pools_per_group: int = 2
    retry_ratio: float = 0.1

    def ranked_vms(self, group: str) -> tuple[str, ...]:
        """Returns the VMs."""
        return VMS


@attrs.define
class Sent:
    """A request at a pool: `state` is "waiting", "ran", "refused" or "unclear"."""

    effect: SendRequest
    state: str = "waiting"
    answer: Answer | None = None


def request_of(policy: RetryPolicy, request_id: str) -> Any:
    """Returns a request that fits the policy."""
    if policy is RetryPolicy.FIXED:
        return FinishRequest(request_id, "club", "t", True, 0.0)
    if policy is RetryPolicy.BEGIN:
        return BeginRequest(request_id, "club", "survey", "revisions", 0.0, 1)
    access = "read" if policy is RetryPolicy.READ else "write"
    return StatementRequest(request_id, "club", "survey", "c", access, "s", (), 0.0, 1)


class Forwarding(RuleBasedStateMachine):
    """Runs requests against pools whose every answer may be lost, late, repeated or crossed."""

    sent = Bundle("sent")

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.routes = FixedRoutes()
        self.tables = forwarding.new_tables(self.now)
        self.tables.retry_budget.tokens = 2.0
        self.requests: dict[int, PendingRequest] = {}
        self.world: dict[int, list[Sent]] = {}
        self.resolved: dict[int, Resolution] = {}
        self.boots = dict.fromkeys(VMS, 0)

    @rule(
        target=sent,
        policy=POLICIES,
        budget=st.floats(0.01, 5.0),
        vm=st.sampled_from(VMS),
        fits=st.booleans(),
    )
    def submit(self, policy: RetryPolicy, budget: float, vm: str, fits: bool) -> Any:
        """Takes a request; its first send may find a full outbox."""
        number = next(self.tables.number_sequence)
        request = request_of(policy, f"r{number}")
        fixed = vm if policy is RetryPolicy.FIXED else None
        pending = PendingRequest(
            number, request, policy, "survey", self.now, self.now + budget, fixed
        )
        self.requests[number] = pending
        self.world[number] = []
        effects = forwarding.submit(self.tables, pending, self.routes, self.now)
        return multiple(*self._execute(effects, fits))

    @rule(target=sent, item=sent)
    def run(self, item: Sent) -> Any:
        """The pool runs a request."""
        if item.state == "waiting":
            item.state = "ran"
            item.answer = Answer(item.effect.request.request_id, Outcome.DONE)
        return multiple()

    @rule(item=sent, kind=KINDS)
    def refuse(self, item: Sent, kind: RefusalKind) -> None:
        """The pool refuses a request for good."""
        if item.state == "waiting":
            item.state = "refused"
            refusal = Refusal(kind, "refused")
            request_id = item.effect.request.request_id
            item.answer = Answer(request_id, Outcome.NOT_RUN, refusal=refusal)

    @rule(item=sent)
    def lose_track(self, item: Sent) -> None:
        """The pool does not know what became of a request."""
        if item.state == "waiting":
            item.state = "unclear"
            refusal = Refusal(RefusalKind.ANSWER_LOST, "target lost")
            request_id = item.effect.request.request_id
            item.answer = Answer(request_id, Outcome.UNKNOWN, refusal=refusal)

    @rule(target=sent, item=sent)
    def deliver(self, item: Sent) -> Any:
        """An answer arrives, perhaps late or once more."""
        if item.answer is None:
            return multiple()
        return multiple(*self._answered(item, item.effect.pool, item.answer))

    @rule(item=sent, other=st.sampled_from(VMS))
    def deliver_crossed(self, item: Sent, other: str) -> None:
        """An answer to another request, or of another pool, carries a pending id."""
        wrong = Answer("another", Outcome.DONE)
        assert self._answered(item, item.effect.pool, wrong) == []
        if other != item.effect.pool and item.answer is not None:
            assert self._answered(item, other, item.answer) == []

    @rule(target=sent, seconds=st.floats(0.0, 2.0))
    def advance(self, seconds: float) -> Any:
        """Time passes."""
        self.now += seconds
        return multiple(*self._tick())

    @rule(target=sent, vm=st.sampled_from(VMS), restarted=st.booleans())
    def hear(self, vm: str, restarted: bool) -> Any:
        """A pool gives a sign of life, perhaps of a new start."""
        self.boots[vm] += restarted
        forwarding.record_message(self.tables, vm, f"{vm}-{self.boots[vm]}", self.now)
        return multiple(*self._tick())

    @rule(vm=st.sampled_from(VMS))
    def drain(self, vm: str) -> None:
        """A pool announces its drain."""
        forwarding.mark_draining(self.tables, vm, self.now)

    @rule(item=consumes(sent))
    def forget(self, item: Sent) -> None:
        """An answer is lost."""

    def teardown(self) -> None:
        """Each request is resolved by its deadline at the latest."""
        self.now += 10.0
        self._tick()
        assert set(self.resolved) == set(self.requests)
        assert not self.tables.pending and not self.tables.attempts

    @invariant()
    def outstanding_requests_are_counted(self) -> None:
        """Guards against pools that look loaded or idle for ever."""
        for vm, pool in self.tables.pools.items():
            open_at = [a for _, a in self.tables.attempts.values() if a.pool == vm]
            assert pool.outstanding == len(open_at)
        assert self.tables.retry_budget.tokens >= 0

    def _tick(self) -> list[Sent]:
        return self._execute(forwarding.tick(self.tables, self.routes, self.now), True)

    def _answered(self, item: Sent, vm: str, answer: Answer) -> list[Sent]:
        number = item.effect.correlation_id
        effects, _ = forwarding.handle_answer(
            self.tables, number, vm, answer, self.routes, self.now
        )
        return self._execute(effects, True)

    def _execute(self, effects: list[Effect], fits: bool) -> list[Sent]:
        created: list[Sent] = []
        for effect in effects:
            if isinstance(effect, SendRequest):
                created += self._send(effect, fits)
            elif isinstance(effect, Resolution):
                self._resolve(effect)
        return created

    def _send(self, effect: SendRequest, fits: bool) -> list[Sent]:
        number = int(effect.request.request_id[1:])
        if not fits:
            more = forwarding.handle_send_failure(
                self.tables, effect.correlation_id, self.routes, self.now
            )
            return self._execute(more, True)
        self._check_send(number, effect)
        item = Sent(effect)
        self.world[number].append(item)
        return [item]

    def _check_send(self, number: int, effect: SendRequest) -> None:
        pending, earlier = self.requests[number], self.world[number]
        assert number not in self.resolved
        assert self.now < pending.deadline and effect.request.budget_ms > 0
        assert self.now + effect.request.budget_ms / 1000 < pending.deadline
        assert effect.pool not in {item.effect.pool for item in earlier}
        if pending.policy is RetryPolicy.AT_MOST_ONCE:
            assert all(item.state == "refused" for item in earlier)
        if pending.policy is RetryPolicy.FIXED:
            assert not earlier and effect.pool == pending.fixed_pool
        excluded = getattr(effect.request, "excluded_pools", ())
        assert set(excluded) <= set(VMS[: VMS.index(effect.pool)])

    def _resolve(self, effect: Resolution) -> None:
        number, answer = effect.number, effect.answer
        assert number not in self.resolved
        assert answer.request_id == self.requests[number].request.request_id
        self.resolved[number] = effect
        states = {item.state for item in self.world[number]}
        if answer.outcome is Outcome.DONE:
            assert "ran" in states
        if answer.outcome is Outcome.NOT_RUN:
            assert states <= {"refused"}


TestForwarding = Forwarding.TestCase
TestForwarding.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
