"""Stateful test of the forwarding decisions with lost, late, repeated and refused answers."""

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

from siskindale.entry import forwarding, pool_health
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
REFUSAL_KINDS = st.sampled_from([*forwarding.RETRIABLE_REFUSALS, RefusalKind.OVERLOADED])


@attrs.define
class FixedRoutes:
    """Four VMs in a fixed rank order."""

    pools_per_group: int = 2
    retry_ratio: float = 0.1

    def ranked_vms(self, group: str) -> tuple[str, ...]:
        """Returns the VMs in rank order."""
        return VMS


@attrs.define
class SentRequest:
    """A request at a pool; `state` is "waiting", "ran", "refused" or "unknown"."""

    effect: SendRequest
    state: str = "waiting"
    answer: Answer | None = None


def build_request(policy: RetryPolicy, request_id: str) -> Any:
    """Returns a request of the type that the policy applies to."""
    if policy is RetryPolicy.FIXED:
        return FinishRequest(request_id, "club", "t", True, 0.0)
    if policy is RetryPolicy.BEGIN:
        return BeginRequest(request_id, "club", "survey", "revisions", 0.0, 1)
    access = "read" if policy is RetryPolicy.READ else "write"
    return StatementRequest(request_id, "club", "survey", "c", access, "s", (), 0.0, 1)


class ForwardingMachine(RuleBasedStateMachine):
    """Runs requests against pools whose answers may be lost, late, repeated or mismatched."""

    sent = Bundle("sent")

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.routes = FixedRoutes()
        self.tables = forwarding.new_tables(self.now)
        self.tables.retry_budget.tokens = 2.0
        self.requests: dict[int, PendingRequest] = {}
        self.sent_requests: dict[int, list[SentRequest]] = {}
        self.resolved: dict[int, Resolution] = {}
        self.boots = dict.fromkeys(VMS, 0)

    @rule(
        target=sent,
        policy=POLICIES,
        time_budget_s=st.floats(0.01, 5.0),
        vm=st.sampled_from(VMS),
        outbox_has_room=st.booleans(),
    )
    def submit(
        self, policy: RetryPolicy, time_budget_s: float, vm: str, outbox_has_room: bool
    ) -> Any:
        """Submits a request; the outbox may be full at the first attempt."""
        number = next(self.tables.number_sequence)
        request = build_request(policy, f"r{number}")
        fixed_pool = vm if policy is RetryPolicy.FIXED else None
        pending = PendingRequest(
            number, request, policy, "survey", self.now, self.now + time_budget_s, fixed_pool
        )
        self.requests[number] = pending
        self.sent_requests[number] = []
        effects = forwarding.submit(self.tables, pending, self.routes, self.now)
        return multiple(*self._execute(effects, outbox_has_room))

    @rule(target=sent, item=sent)
    def run_request(self, item: SentRequest) -> Any:
        """The pool runs a request."""
        if item.state == "waiting":
            item.state = "ran"
            item.answer = Answer(item.effect.request.request_id, Outcome.DONE)
        return multiple()

    @rule(item=sent, kind=REFUSAL_KINDS)
    def refuse_request(self, item: SentRequest, kind: RefusalKind) -> None:
        """The pool refuses a request, which does not run."""
        if item.state == "waiting":
            item.state = "refused"
            refusal = Refusal(kind, "refused")
            request_id = item.effect.request.request_id
            item.answer = Answer(request_id, Outcome.NOT_RUN, refusal=refusal)

    @rule(item=sent)
    def report_unknown_outcome(self, item: SentRequest) -> None:
        """The pool does not know the outcome of a request."""
        if item.state == "waiting":
            item.state = "unknown"
            refusal = Refusal(RefusalKind.ANSWER_LOST, "target lost")
            request_id = item.effect.request.request_id
            item.answer = Answer(request_id, Outcome.UNKNOWN, refusal=refusal)

    @rule(target=sent, item=sent)
    def deliver_answer(self, item: SentRequest) -> Any:
        """An answer arrives, possibly late or repeated."""
        if item.answer is None:
            return multiple()
        return multiple(*self._handle_answer(item, item.effect.pool, item.answer))

    @rule(item=sent, other=st.sampled_from(VMS))
    def deliver_mismatched_answer(self, item: SentRequest, other: str) -> None:
        """An answer to another request, or from another pool, carries a pending correlation id."""
        mismatched = Answer("another", Outcome.DONE)
        assert self._handle_answer(item, item.effect.pool, mismatched) == []
        if other != item.effect.pool and item.answer is not None:
            assert self._handle_answer(item, other, item.answer) == []

    @rule(target=sent, seconds=st.floats(0.0, 2.0))
    def advance_time(self, seconds: float) -> Any:
        """Time passes."""
        self.now += seconds
        return multiple(*self._tick())

    @rule(target=sent, vm=st.sampled_from(VMS), restarted=st.booleans())
    def receive_message(self, vm: str, restarted: bool) -> Any:
        """A message from a pool arrives, possibly after a restart of the pool."""
        self.boots[vm] += restarted
        forwarding.record_message(self.tables, vm, f"{vm}-{self.boots[vm]}", self.now)
        return multiple(*self._tick())

    @rule(vm=st.sampled_from(VMS))
    def announce_drain(self, vm: str) -> None:
        """A pool announces that it drains."""
        pool_health.mark_draining(self.tables, vm, self.now)

    @rule(item=consumes(sent))
    def lose_answer(self, item: SentRequest) -> None:
        """An answer is lost."""

    def teardown(self) -> None:
        """Checks that each request is resolved by its deadline."""
        self.now += 10.0
        self._tick()
        assert set(self.resolved) == set(self.requests)
        assert not self.tables.pending and not self.tables.attempts

    @invariant()
    def outstanding_requests_are_counted(self) -> None:
        """Guards against pools that appear loaded or idle forever."""
        for vm, pool in self.tables.pools.items():
            outstanding = [a for _, a in self.tables.attempts.values() if a.pool == vm]
            assert pool.outstanding == len(outstanding)
        assert self.tables.retry_budget.tokens >= 0

    def _tick(self) -> list[SentRequest]:
        return self._execute(forwarding.tick(self.tables, self.routes, self.now), True)

    def _handle_answer(self, item: SentRequest, vm: str, answer: Answer) -> list[SentRequest]:
        number = item.effect.correlation_id
        effects, _ = forwarding.handle_answer(
            self.tables, number, vm, answer, self.routes, self.now
        )
        return self._execute(effects, True)

    def _execute(self, effects: list[Effect], outbox_has_room: bool) -> list[SentRequest]:
        new_requests: list[SentRequest] = []
        for effect in effects:
            if isinstance(effect, SendRequest):
                new_requests += self._send(effect, outbox_has_room)
            elif isinstance(effect, Resolution):
                self._resolve(effect)
        return new_requests

    def _send(self, effect: SendRequest, outbox_has_room: bool) -> list[SentRequest]:
        number = int(effect.request.request_id[1:])
        if not outbox_has_room:
            further_effects = forwarding.handle_send_failure(
                self.tables, effect.correlation_id, self.routes, self.now
            )
            return self._execute(further_effects, True)
        self._check_send(number, effect)
        item = SentRequest(effect)
        self.sent_requests[number].append(item)
        return [item]

    def _check_send(self, number: int, effect: SendRequest) -> None:
        pending, earlier_sends = self.requests[number], self.sent_requests[number]
        assert number not in self.resolved
        assert self.now < pending.deadline and effect.request.budget_ms > 0
        assert self.now + effect.request.budget_ms / 1000 < pending.deadline
        assert effect.pool not in {item.effect.pool for item in earlier_sends}
        if pending.policy is RetryPolicy.AT_MOST_ONCE:
            assert all(item.state == "refused" for item in earlier_sends)
        if pending.policy is RetryPolicy.FIXED:
            assert not earlier_sends and effect.pool == pending.fixed_pool
        excluded = getattr(effect.request, "excluded_pools", ())
        assert set(excluded) <= set(VMS[: VMS.index(effect.pool)])

    def _resolve(self, effect: Resolution) -> None:
        number, answer = effect.number, effect.answer
        assert number not in self.resolved
        assert answer.request_id == self.requests[number].request.request_id
        self.resolved[number] = effect
        states = {item.state for item in self.sent_requests[number]}
        if answer.outcome is Outcome.DONE:
            assert "ran" in states
        if answer.outcome is Outcome.NOT_RUN:
            assert states <= {"refused"}


TestForwarding = ForwardingMachine.TestCase
TestForwarding.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
