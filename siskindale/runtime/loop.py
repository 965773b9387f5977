"""Tick loop: runs when work arrives and at the next timer, not at a fixed period.

A fixed period would add half of its length to every statement.
"""

from collections.abc import Callable

import gevent
from gevent.event import Event

from siskindale.context import Clock
from siskindale.runtime.logs import logger

MAX_IDLE_S = 1.0

Tick = Callable[[float], float | None]


class TickLoop:
    """Calls `tick(now)` on one greenlet; it returns the time of its next timer, or None."""

    def __init__(self, tick: Tick, clock: Clock) -> None:
        self._tick = tick
        self._clock = clock
        self._woken = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts ticking."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops ticking."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def wake(self) -> None:
        """Requests a tick; many requests before it runs give one tick."""
        self._woken.set()

    def _run(self) -> None:
        while True:
            self._woken.clear()
            try:
                due = self._tick(self._clock.monotonic())
            except Exception:
                logger().exception("tick-failed")
                due = None
            self._wait(due)

    def _wait(self, due: float | None) -> None:
        limit = MAX_IDLE_S if due is None else max(0.0, due - self._clock.monotonic())
        self._woken.wait(min(limit, MAX_IDLE_S))
