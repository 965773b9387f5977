"""Graceful shutdown: moves sessions to other VMs, and answers each request that was taken."""

from collections.abc import Callable
from typing import Protocol

import gevent

from siskindale.context import Clock
from siskindale.models.vm import ProxySettings
from siskindale.proxy import metrics
from siskindale.proxy.decisions.draining import DrainPhase, closing_quota, next_phase
from siskindale.proxy.server import SessionServer
from siskindale.runtime.logs import logger

TICK_S = 0.05


class DrainingServer(Protocol):
    """A server that takes requests, of clients or of other VMs."""

    @property
    def unfinished_count(self) -> int:
        """Number of requests and open transactions, or of sessions that may have some."""

    def refuse_requests(self) -> None:
        """Takes no more requests; those that arrive are refused."""

    def abort_transactions(self) -> None:
        """Rolls back the transactions that run no statement at the moment."""


class Drain:
    """A shutdown in progress.

    `sessions` serves the clients of this VM, `forwarding` other VMs. `interrupt` makes all
    statements that still wait or run return an error.
    """

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        sessions: SessionServer,
        forwarding: DrainingServer | None,
        interrupt: Callable[[], None],
    ) -> None:
        self._grace_s = settings.grace_s
        self._clock = clock
        self._sessions = sessions
        self._servers: list[DrainingServer] = [sessions]
        if forwarding is not None:
            self._servers.append(forwarding)
        self._interrupt = interrupt
        self._started_at = clock.monotonic()
        self._phase = DrainPhase.SERVING

    def run(self) -> None:
        """Returns once all requests are answered, or the grace period is nearly over."""
        while self._phase is not DrainPhase.ENDED:
            self._work()
            gevent.sleep(TICK_S)
            self._advance()
        logger().info(
            "drained",
            sessions=self._unfinished_count,
            took_ms=round((self._clock.monotonic() - self._started_at) * 1000),
        )

    @property
    def _unfinished_count(self) -> int:
        return sum(server.unfinished_count for server in self._servers)

    def _work(self) -> None:
        elapsed_s = self._clock.monotonic() - self._started_at
        count = self._sessions.unfinished_count
        self._sessions.close_idle(closing_quota(count, elapsed_s, self._grace_s, TICK_S))
        if self._phase is not DrainPhase.SERVING:
            for server in self._servers:
                server.abort_transactions()

    def _advance(self) -> None:
        elapsed_s = self._clock.monotonic() - self._started_at
        unfinished_count = self._unfinished_count
        phase = next_phase(self._phase, elapsed_s, self._grace_s, unfinished_count)
        if phase is self._phase:
            return
        self._phase = phase
        logger().info("drain-phase", phase=phase.value, unfinished=unfinished_count)
        if phase is DrainPhase.FINISHING:
            for server in self._servers:
                server.refuse_requests()
        elif phase is DrainPhase.INTERRUPTING:
            metrics.INTERRUPTED.inc(unfinished_count)
            self._interrupt()
