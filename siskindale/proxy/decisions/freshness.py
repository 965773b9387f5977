"""Log positions that a target must have to serve a read of a given maximum age."""

from collections import deque

import attrs

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition

# More frequent samples would hardly lower the positions that reads require.
SAMPLE_INTERVAL_S = 0.05
SAMPLE_RETENTION_S = 10.0


@attrs.frozen
class Sample:
    """End of the primary's log at `taken_at` or later.

    The position covers every commit acknowledged before `taken_at`.
    """

    position: LogPosition
    taken_at: float


@attrs.define
class Freshness:
    """Samples of one group, oldest first, all from the newest known term."""

    samples: deque[Sample] = attrs.field(factory=deque)

    def add_sample(self, position: LogPosition, taken_at: float) -> None:
        """Adds the position with which a confirmed primary replied to a request sent at `taken_at`.

        Samples with an older term or a higher position are dropped: a promotion may have rolled
        those positions back, so that no log has them.
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


def required_position(
    route: Route, freshness: Freshness, session: LogPosition | None, arrived: float
) -> LogPosition | None:
    """Returns the lowest log position at which a read is fresh enough.

    None means that only the primary can serve the read. `session` is the position of the session's
    last commit, `arrived` is when the read or its transaction arrived.
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
