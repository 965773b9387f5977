"""Estimates the delay of messages without synchronised clocks."""

import attrs

# Clocks drift apart by about 20 ppm. A minimum older than two windows is discarded, so drift adds
# at most a few milliseconds to a delay.
MINIMUM_WINDOW_S = 60.0
SENDER_EXPIRY_S = 600.0


@attrs.define
class _SenderMinima:
    """Smallest transit times of one sender in the current and the previous window."""

    window_start: float
    current_minimum: float
    previous_minimum: float
    last_message_at: float


class DelayEstimator:
    """Estimates delays by sender boot, relative to the fastest recent message of that sender."""

    def __init__(self) -> None:
        self._senders: dict[str, _SenderMinima] = {}

    def __len__(self) -> int:
        return len(self._senders)

    def record_message(self, boot: str, sent_at: float, now: float) -> float:
        """Returns the delay in seconds of a message that was received at `now`.

        `sent_at` is read from the sender's monotonic clock; the clock offset is part of every
        transit time and cancels out in the difference from the minimum.
        """
        transit = now - sent_at
        minima = self._senders.get(boot)
        if minima is None:
            self._senders[boot] = _SenderMinima(now, transit, transit, now)
            return 0.0
        if now - minima.window_start >= MINIMUM_WINDOW_S:
            stale = now - minima.window_start >= 2 * MINIMUM_WINDOW_S
            minima.previous_minimum = transit if stale else minima.current_minimum
            minima.current_minimum, minima.window_start = transit, now
        minima.current_minimum = min(minima.current_minimum, transit)
        minima.last_message_at = now
        return transit - min(minima.current_minimum, minima.previous_minimum)

    def remove_silent_senders(self, now: float) -> None:
        """Removes senders that sent nothing for `SENDER_EXPIRY_S`, such as ended boots."""
        silent_boots = [
            boot
            for boot, minima in self._senders.items()
            if now - minima.last_message_at > SENDER_EXPIRY_S
        ]
        for boot in silent_boots:
            del self._senders[boot]
