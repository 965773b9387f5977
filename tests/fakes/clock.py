"""Clock that only advances when a test sets it."""

import attrs


@attrs.define
class FakeClock:
    """Monotonic and wall-clock time in seconds."""

    now: float = 1000.0

    def monotonic(self) -> float:
        """Returns the current fake time."""
        return self.now

    def time(self) -> float:
        """Returns the current fake time as wall-clock time."""
        return self.now
