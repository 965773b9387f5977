"""Connects the greenlets of callers, the mailbox and the decisions in `forwarding`."""

from collections import Counter, deque

from gevent.event import AsyncResult

from siskindale.context import Clock
from siskindale.entry import forwarding, metrics, pool_health
from siskindale.entry.routes import DirectoryRoutes
from siskindale.entry.tables import (
    DiscardQueue,
    Effect,
    PendingRequest,
    Request,
    Resolution,
    RetryPolicy,
    SendProbe,
    SendRequest,
)
from siskindale.models.wire import AliveReply, AliveRequest, Answer, DrainNotice
from siskindale.runtime.logs import logger
from siskindale.runtime.loop import TickLoop
from siskindale.transport.mailbox import Delivery, Mailbox


class Dispatcher:
    """Sends requests to pools and hands each answer to the greenlet that waits for it."""

    def __init__(self, mailbox: Mailbox, routes: DirectoryRoutes, clock: Clock) -> None:
        self._mailbox = mailbox
        self._routes = routes
        self._clock = clock
        self._tables = forwarding.new_tables(clock.monotonic())
        self._results: dict[int, AsyncResult] = {}
        self._next_tick_at: float | None = None
        self._dropped_answers: Counter[str] = Counter()
        self._tick_loop = TickLoop(self._tick, clock)

    @property
    def pending_count(self) -> int:
        """Number of requests without a final answer yet."""
        return len(self._tables.pending)

    @property
    def dropped_answers(self) -> Counter[str]:
        """Number of dropped answers by reason."""
        return self._dropped_answers

    @property
    def avoided_pools(self) -> list[str]:
        """VMs whose pools currently get no new requests."""
        now = self._clock.monotonic()
        return sorted(pool.vm for pool in self._tables.pools.values() if pool.is_avoided(now))

    def start(self) -> None:
        """Registers the message handlers and starts the tick loop."""
        self._mailbox.set_handler(Answer, self._on_answer)
        self._mailbox.set_handler(AliveReply, self._on_alive)
        self._mailbox.set_handler(DrainNotice, self._on_drain)
        self._tick_loop.start()

    def call(
        self,
        request: Request,
        policy: RetryPolicy,
        group: str,
        deadline: float,
        fixed_pool: str | None = None,
    ) -> Resolution:
        """Sends a request and blocks until it is resolved, at `deadline` at the latest."""
        now = self._clock.monotonic()
        number = next(self._tables.number_sequence)
        result = self._results[number] = AsyncResult()
        pending = PendingRequest(number, request, policy, group, now, deadline, fixed_pool)
        self._execute(forwarding.submit(self._tables, pending, self._routes, now))
        self._wake_if_due_earlier(now)
        return result.get()

    def _tick(self, now: float) -> float | None:
        self._execute(forwarding.tick(self._tables, self._routes, now))
        pool_health.remove_departed_pools(self._tables, self._routes.live_vms)
        self._next_tick_at = forwarding.next_tick_at(self._tables, now)
        return self._next_tick_at

    def _wake_if_due_earlier(self, now: float) -> None:
        """Wakes the tick loop if a timer expires before its next scheduled tick."""
        next_tick_at = forwarding.next_tick_at(self._tables, now)
        if next_tick_at is not None and (
            self._next_tick_at is None or next_tick_at < self._next_tick_at
        ):
            self._next_tick_at = next_tick_at
            self._tick_loop.wake()

    def _execute(self, effects: list[Effect]) -> None:
        queue = deque(effects)
        while queue:
            effect = queue.popleft()
            if isinstance(effect, SendRequest):
                queue.extend(self._send(effect))
            elif isinstance(effect, SendProbe):
                self._send_probe(effect.pool)
            elif isinstance(effect, DiscardQueue):
                self._mailbox.discard_outbox(self._routes.pool_url(effect.pool) or "")
            else:
                self._results.pop(effect.number).set(effect)

    def _send(self, effect: SendRequest) -> list[Effect]:
        url = self._routes.pool_url(effect.pool)
        if url and self._mailbox.send(url, effect.request, effect.correlation_id):
            metrics.SENT.inc()
            if effect.repeated:
                metrics.RESENT.inc()
            return []
        now = self._clock.monotonic()
        return forwarding.handle_send_failure(
            self._tables, effect.correlation_id, self._routes, now
        )

    def _send_probe(self, vm: str) -> None:
        url = self._routes.pool_url(vm)
        if url:
            self._mailbox.send(url, AliveRequest())

    def _on_answer(self, delivery: Delivery) -> None:
        envelope = delivery.envelope
        now = self._clock.monotonic()
        if envelope.addressed_boot != self._mailbox.boot:
            return self._drop_answer("other-boot", delivery)
        vm = self._record_message(delivery, now)
        effects, drop_reason = forwarding.handle_answer(
            self._tables, envelope.correlation_id, vm, delivery.body, self._routes, now
        )
        if drop_reason:
            return self._drop_answer(drop_reason, delivery)
        self._execute(effects)
        return None

    def _on_alive(self, delivery: Delivery) -> None:
        self._record_message(delivery, self._clock.monotonic())

    def _on_drain(self, delivery: Delivery) -> None:
        vm, _, program = delivery.body.program.partition("/")
        if program == "pool":
            now = self._clock.monotonic()
            forwarding.record_message(self._tables, vm, delivery.envelope.sender_boot, now)
            pool_health.mark_draining(self._tables, vm, now)
            logger().info("pool-drains", pool=vm)

    def _record_message(self, delivery: Delivery, now: float) -> str:
        envelope = delivery.envelope
        vm = envelope.sender.partition("/")[0]
        forwarding.record_message(self._tables, vm, envelope.sender_boot, now)
        return vm

    def _drop_answer(self, reason: str, delivery: Delivery) -> None:
        self._dropped_answers[reason] += 1
        metrics.DROPPED.labels(reason).inc()
        request_id = delivery.body.request_id
        logger().info("answer-dropped", reason=reason, request_id=request_id)
