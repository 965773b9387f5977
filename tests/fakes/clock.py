"""Clock that moves only when a test moves it."""

import attrs


@attrs.define
class FakeClock:
    """Monotonic and wall-clock time in seconds."""

    now: float = 1000.0

    def monotonic(self) -> float:
        """Returns the set time."""
        return self.now

    def time(self) -> float:
        """Returns the set time as wall-clock time."""
        return self.now
