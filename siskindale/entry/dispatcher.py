"""Adapter between callers' greenlets, the mailbox and the decisions of `forwarding`."""

from collections import Counter, deque

from gevent.event import AsyncResult

from siskindale.context import Clock
from siskindale.entry import forwarding, metrics
from siskindale.entry.routes import DirectoryRoutes
from siskindale.entry.tables import Discard, Effect, Pending, Policy, Probe, Request, Resolve, Send
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
        self._waiting: dict[int, AsyncResult] = {}
        self._due: float | None = None
        self._dropped: Counter[str] = Counter()
        self._loop = TickLoop(self._tick, clock)

    @property
    def pending_count(self) -> int:
        """Number of requests that wait for an answer."""
        return len(self._tables.pending)

    @property
    def dropped(self) -> Counter[str]:
        """Number of dropped answers by reason."""
        return self._dropped

    @property
    def avoided_pools(self) -> list[str]:
        """VMs whose pools get no new work at present."""
        now = self._clock.monotonic()
        return sorted(pool.vm for pool in self._tables.pools.values() if pool.avoided(now))

    def start(self) -> None:
        """Takes messages and starts the timers."""
        self._mailbox.on(Answer, self._on_answer)
        self._mailbox.on(AliveReply, self._on_alive)
        self._mailbox.on(DrainNotice, self._on_drain)
        self._loop.start()

    def call(
        self,
        request: Request,
        policy: Policy,
        group: str,
        deadline: float,
        fixed_pool: str | None = None,
    ) -> Resolve:
        """Sends a request and blocks until it is resolved, at `deadline` at the latest."""
        now = self._clock.monotonic()
        number = next(self._tables.numbers)
        result = self._waiting[number] = AsyncResult()
        pending = Pending(number, request, policy, group, now, deadline, fixed_pool)
        self._execute(forwarding.submit(self._tables, pending, self._routes, now))
        self._schedule(now)
        return result.get()

    def _tick(self, now: float) -> float | None:
        self._execute(forwarding.tick(self._tables, self._routes, now))
        forwarding.forget(self._tables, self._routes.vms)
        self._due = forwarding.next_due(self._tables, now)
        return self._due

    def _schedule(self, now: float) -> None:
        """Wakes the timers only if they sleep beyond the next one."""
        due = forwarding.next_due(self._tables, now)
        if due is not None and (self._due is None or due < self._due):
            self._due = due
            self._loop.wake()

    def _execute(self, effects: list[Effect]) -> None:
        queue = deque(effects)
        while queue:
            effect = queue.popleft()
            if isinstance(effect, Send):
                queue.extend(self._send(effect))
            elif isinstance(effect, Probe):
                self._probe(effect.pool)
            elif isinstance(effect, Discard):
                self._mailbox.discard(self._routes.url(effect.pool) or "")
            else:
                self._waiting.pop(effect.number).set(effect)

    def _send(self, effect: Send) -> list[Effect]:
        url = self._routes.url(effect.pool)
        if url and self._mailbox.send(url, effect.request, effect.correlation_id):
            metrics.SENT.inc()
            return []
        now = self._clock.monotonic()
        return forwarding.unsent(self._tables, effect.correlation_id, self._routes, now)

    def _probe(self, vm: str) -> None:
        url = self._routes.url(vm)
        if url:
            self._mailbox.send(url, AliveRequest())

    def _on_answer(self, delivery: Delivery) -> None:
        envelope = delivery.envelope
        now = self._clock.monotonic()
        if envelope.addressed_boot != self._mailbox.boot:
            return self._drop("other-boot", delivery)
        vm = self._note(delivery, now)
        effects, dropped = forwarding.answered(
            self._tables, envelope.correlation_id, vm, delivery.body, self._routes, now
        )
        if dropped:
            return self._drop(dropped, delivery)
        self._execute(effects)
        return None

    def _on_alive(self, delivery: Delivery) -> None:
        self._note(delivery, self._clock.monotonic())

    def _on_drain(self, delivery: Delivery) -> None:
        vm, _, program = delivery.body.program.partition("/")
        if program == "pool":
            now = self._clock.monotonic()
            forwarding.heard(self._tables, vm, delivery.envelope.sender_boot, now)
            forwarding.drained(self._tables, vm, now)
            logger().info("pool-drains", pool=vm)

    def _note(self, delivery: Delivery, now: float) -> str:
        envelope = delivery.envelope
        vm = envelope.sender.partition("/")[0]
        forwarding.heard(self._tables, vm, envelope.sender_boot, now)
        return vm

    def _drop(self, reason: str, delivery: Delivery) -> None:
        self._dropped[reason] += 1
        metrics.DROPPED.labels(reason).inc()
        request_id = delivery.body.request_id
        logger().info("answer-dropped", reason=reason, request_id=request_id)
