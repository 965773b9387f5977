"""Output of log lines that never blocks the loop and is bounded under load."""

import os
from collections.abc import Callable

import gevent

from siskindale.runtime.counters import Metric

# Lines a second, and lines at once after a quiet time. A VM serves about a hundred statements a
# second and logs one line for each; the bound keeps a storm of failures from taking more.
LINES_PER_S = 300.0
BURST_LINES = 1000.0
# What a reader of standard output may leave unread before lines are dropped.
MAX_PENDING_BYTES = 1 << 18
# A write costs more than the lines in it. A process that is killed loses the lines since the last.
FLUSH_INTERVAL_S = 0.1

DROPPED = Metric("siskindale_log_lines_dropped", "Log lines left out", ("reason",))


class BoundedStream:
    """Writes lines to a descriptor without waiting; what does not fit is counted and left out.

    Lines are collected until `flush`, which `run` calls regularly. The first line after a gap is
    preceded by one that tells how many are missing.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._allowance = BURST_LINES
        self._checked_at = now()
        self._pending = b""
        self._missing = 0

    def write(self, text: str) -> None:
        """Takes one line with its end."""
        if not self._take_allowance():
            self._drop("rate")
            return
        if len(self._pending) > MAX_PENDING_BYTES:
            self._drop("unread")
            return
        if self._missing:
            self._pending += (
                f"level=warning event=log-lines-dropped count={self._missing}\n".encode()
            )
            self._missing = 0
        self._pending += text.encode(errors="replace")

    def run(self) -> None:
        """Writes lines until it is killed."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; the lines are lost, and the program goes on.
            self._pending = b""
            self._drop("closed")
            return
        self._pending = self._pending[written:]

    def _take_allowance(self) -> bool:
        now = self._now()
        self._allowance = min(BURST_LINES, self._allowance + (now - self._checked_at) * LINES_PER_S)
        self._checked_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _drop(self, reason: str) -> None:
        self._missing += 1
        DROPPED.labels(reason).inc()
