"""Environment of a program: streams, clocks and the random source."""

import sys
import time
from random import Random
from typing import Protocol, TextIO

import attrs


class Clock(Protocol):
    """Source of time; decisions use monotonic time only."""

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
    """Clock whose monotonic time also runs while the machine is suspended.

    Ages that prove something must count that time.
    """

    def monotonic(self) -> float:
        """Seconds since the boot of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class Environment:
    """What a program takes from its surroundings; tests replace each part."""

    stdin: TextIO = attrs.field(factory=lambda: sys.stdin)
    stdout: TextIO = attrs.field(factory=lambda: sys.stdout)
    stderr: TextIO = attrs.field(factory=lambda: sys.stderr)
    clock: Clock = attrs.field(factory=SystemClock)
    random: Random = attrs.field(factory=Random)
    program: str = "siskindale"
