"""Positions that a target's log must have for a read of a given age."""

from collections import deque

import attrs

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition

# Denser samples would not lower the positions that reads need by much.
SAMPLE_INTERVAL_S = 0.05
SAMPLE_RETENTION_S = 10.0


@attrs.frozen
class Sample:
    """End of the primary's log, at `taken_at` or later: it has each commit acknowledged before."""

    position: LogPosition
    taken_at: float


@attrs.define
class Freshness:
    """Samples of one group in order of time, all of the newest known term."""

    samples: deque[Sample] = attrs.field(factory=deque)

    def note(self, position: LogPosition, taken_at: float) -> None:
        """Records that a proven primary replied with `position` to a request of `taken_at`.

        Samples of older terms or higher positions are dropped: a promotion may have rolled their
        positions back, and then no log has them.
        """
        newest = self.samples[-1] if self.samples else None
        if newest is not None:
            if position.term < newest.position.term:
                return
            if position.term > newest.position.term or position < newest.position:
                self.samples.clear()
            elif taken_at < newest.taken_at + SAMPLE_INTERVAL_S:
                return
        self.samples.append(Sample(position, taken_at))
        while self.samples[0].taken_at < taken_at - SAMPLE_RETENTION_S:
            self.samples.popleft()

    @property
    def term(self) -> int:
        """Newest term that a primary was seen in, 0 if none was."""
        return self.samples[-1].position.term if self.samples else 0


def required_position(
    route: Route, freshness: Freshness, session: LogPosition | None, arrived: float
) -> LogPosition | None:
    """Returns the lowest position that proves a read fresh enough.

    None means that only the primary can serve the read. `session` is the position of the session's
    last commit, `arrived` the time at which the read or its transaction arrived.
    """
    if route.consistency is Consistency.LATEST:
        return None
    oldest_allowed = arrived - route.max_staleness_s
    sample = next((s for s in freshness.samples if s.taken_at >= oldest_allowed), None)
    if sample is None:
        return None
    if route.consistency is Consistency.SESSION and session is not None:
        return max(sample.position, session)
    return sample.position
