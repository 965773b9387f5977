"""Environment of a program: standard streams, clock and random number generator."""

import sys
import time
from random import Random
from typing import Protocol, TextIO

import attrs


class Clock(Protocol):
    """Source of time; decisions depend on monotonic time only."""

    def monotonic(self) -> float:
        """Seconds from an arbitrary start, never moving back."""
        ...

    def time(self) -> float:
        """Seconds since the epoch, for audit rows and key ages."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Seconds from an arbitrary start, never moving back."""
        return time.monotonic()

    def time(self) -> float:
        """Seconds since the epoch."""
        return time.time()


class SuspendAwareClock(SystemClock):
    """Clock whose monotonic time also advances while the machine is suspended.

    Age bounds must include that time.
    """

    def monotonic(self) -> float:
        """Seconds since the machine booted, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class Environment:
    """Interfaces of a program to its environment; tests replace them."""

    stdin: TextIO = attrs.field(factory=lambda: sys.stdin)
    stdout: TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: TextIO = attrs.field(factory=lambda: sys.stderr)
    clock: Clock = attrs.field(factory=SystemClock)
    random: Random = attrs.field(factory=Random)
    program: str = "siskindale"
