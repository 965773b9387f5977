"""Log output that never blocks the event loop and is rate-limited."""

import os
from collections.abc import Callable

import gevent

from siskindale.runtime.counters import Metric
from siskindale.runtime.supervision import long_lived

# Sustained rate, and burst after a quiet period. A VM serves about a hundred statements a second
# and logs one line for each; the limits bound what a burst of failures logs.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 1000.0
# Lines are dropped while more output than this waits for the reader of standard output.
MAX_BUFFER_BYTES = 1 << 18
# Lines are batched because a write call costs more than its lines. A process that is killed loses
# the lines since the last flush.
FLUSH_INTERVAL_S = 0.1

DROPPED_LINES = Metric("siskindale_log_lines_dropped", "Log lines left out", ("reason",))


class BoundedStream:
    """Writes lines to a file descriptor without blocking; drops and counts lines over the limits.

    Lines are buffered until `flush`, which `run` calls periodically. A line with the number of
    dropped lines precedes the first line after a gap.
    """

    def __init__(self, descriptor: int, now: Callable[[], float]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._tokens = MAX_BURST_LINES
        self._refilled_at = now()
        self._buffer = b""
        self._dropped_count = 0

    def write(self, text: str) -> None:
        """Buffers one line, which includes its line end, or drops it."""
        if not self._take_token():
            self._drop("rate")
            return
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self._drop("unread")
            return
        if self._dropped_count:
            self._buffer += (
                f"level=warning event=log-lines-dropped count={self._dropped_count}\n".encode()
            )
            self._dropped_count = 0
        self._buffer += text.encode(errors="replace")

    @long_lived("log-output")
    def run(self) -> None:
        """Flushes periodically until the greenlet is killed."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe: discard the buffer and keep running.
            self._buffer = b""
            self._drop("closed")
            return
        self._buffer = self._buffer[written:]

    def _take_token(self) -> bool:
        now = self._now()
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _drop(self, reason: str) -> None:
        self._dropped_count += 1
        DROPPED_LINES.labels(reason).inc()
