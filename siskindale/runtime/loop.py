"""Event-driven tick loop: runs when work arrives and when the next timer is due.

A fixed period would add half of its length to the latency of every statement.
"""

from collections.abc import Callable

import gevent
from gevent.event import Event

from siskindale.context import Clock
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise

MAX_TICK_INTERVAL_S = 1.0

TickFunction = Callable[[float], float | None]


class TickLoop:
    """Calls `tick(now)` in one greenlet; `tick` returns the time of its next timer or None."""

    def __init__(self, tick: TickFunction, clock: Clock) -> None:
        self._tick = tick
        self._clock = clock
        self._wake_requested = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet."""
        self._greenlet = supervise(self._run)

    def stop(self) -> None:
        """Kills the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def wake(self) -> None:
        """Requests a tick; requests made before it runs are merged into one tick."""
        self._wake_requested.set()

    @long_lived("tick-loop", vital=True)
    def _run(self) -> None:
        while True:
            self._wake_requested.clear()
            try:
                next_timer_at = self._tick(self._clock.monotonic())
            except Exception:
                logger().exception("tick-failed")
                next_timer_at = None
            self._wait_for_work(next_timer_at)

    def _wait_for_work(self, next_timer_at: float | None) -> None:
        timeout_s = (
            MAX_TICK_INTERVAL_S
            if next_timer_at is None
            else max(0.0, next_timer_at - self._clock.monotonic())
        )
        self._wake_requested.wait(min(timeout_s, MAX_TICK_INTERVAL_S))
