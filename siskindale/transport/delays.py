"""Delay of messages without synchronised clocks."""

import attrs

# Clocks drift apart by some 20 ppm; a minimum that is older than two windows is forgotten, so drift
# adds at most a few milliseconds to a delay.
WINDOW_S = 60.0
FORGET_S = 600.0


@attrs.define
class _Sender:
    window_start: float
    current: float
    previous: float
    heard_at: float


class Delays:
    """Delays by sender boot: what a message took beyond the sender's fastest recent message."""

    def __init__(self) -> None:
        self._senders: dict[str, _Sender] = {}

    def __len__(self) -> int:
        return len(self._senders)

    def note(self, boot: str, sent_at: float, now: float) -> float:
        """Returns the delay in seconds of a message that was received `now`.

        `sent_at` is the sender's monotonic clock, whose offset is part of every transit time.
        """
        transit = now - sent_at
        sender = self._senders.get(boot)
        if sender is None:
            self._senders[boot] = _Sender(now, transit, transit, now)
            return 0.0
        if now - sender.window_start >= WINDOW_S:
            stale = now - sender.window_start >= 2 * WINDOW_S
            sender.previous = transit if stale else sender.current
            sender.current, sender.window_start = transit, now
        sender.current = min(sender.current, transit)
        sender.heard_at = now
        return transit - min(sender.current, sender.previous)

    def forget_silent(self, now: float) -> None:
        """Drops senders that were not heard for `FORGET_S`, such as boots that have ended."""
        silent = [boot for boot, s in self._senders.items() if now - s.heard_at > FORGET_S]
        for boot in silent:
            del self._senders[boot]
