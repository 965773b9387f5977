"""Log positions that reads need."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions.freshness import Freshness, required_position

Routes = Callable[..., Route]


def test_the_oldest_sample_that_is_fresh_enough_is_required(route: Routes) -> None:
    """Guards against reads that ask replicas for more than they need, and lag behind it."""
    freshness = Freshness()
    for second in range(5):
        freshness.note(LogPosition(1, second), float(second))
    assert required_position(route(), freshness, None, 4.0) == LogPosition(1, 3)


def test_without_a_fresh_sample_only_the_primary_serves(route: Routes) -> None:
    """Guards against reads of unknown age after a time without proof of the log's end."""
    freshness = Freshness()
    freshness.note(LogPosition(1, 1), 1.0)
    assert required_position(route(), freshness, None, 2.6) is None


def test_reads_of_a_session_need_its_last_commit(route: Routes) -> None:
    """Guards against a session that does not see its own commit."""
    freshness = Freshness()
    freshness.note(LogPosition(1, 1), 1.0)
    own = route(consistency=Consistency.SESSION)
    assert required_position(own, freshness, LogPosition(1, 7), 1.0) == LogPosition(1, 7)
    assert required_position(route(), freshness, LogPosition(1, 7), 1.0) == LogPosition(1, 1)


def test_reads_of_the_latest_data_are_never_served_by_position(route: Routes) -> None:
    """Guards against a read at a replica that lacks a commit of another session."""
    freshness = Freshness()
    freshness.note(LogPosition(1, 1), 1.0)
    assert required_position(route(consistency=Consistency.LATEST), freshness, None, 1.0) is None


@pytest.mark.parametrize("after", [LogPosition(1, 42), LogPosition(2, 43)])
def test_positions_that_a_promotion_rolled_back_are_dropped(
    route: Routes, after: LogPosition
) -> None:
    """Guards against reads that wait for a position that no log has any more.

    Until its first commit a new primary still reports a position of the old term.
    """
    freshness = Freshness()
    freshness.note(LogPosition(1, 45), 1.0)
    freshness.note(after, 2.0)
    assert required_position(route(), freshness, None, 2.0) == after


@given(
    st.lists(st.tuples(st.integers(0, 3), st.floats(0, 0.3)), min_size=1, max_size=60),
    st.floats(0, 4),
)
def test_a_required_position_covers_what_was_acknowledged(
    commits: list[tuple[int, float]], staleness: float
) -> None:
    """Guards against a sample that is taken for newer than it is.

    The primary commits and is sampled by turns; the required position must have every commit older
    than the accepted staleness.
    """
    bounded = Route("r", "d", "g", Consistency.BOUNDED, 1.0, 1.0, 1, max_staleness_s=staleness)
    freshness = Freshness()
    now, number = 10.0, 0
    acknowledged: list[tuple[float, int]] = []
    for count, pause in commits:
        now += pause
        freshness.note(LogPosition(1, number), now)
        number += count
        acknowledged.append((now + pause / 2, number))
    required = required_position(bounded, freshness, None, now)
    covered = [n for at, n in acknowledged if at < now - staleness]
    assert required is None or not covered or required.position >= covered[-1]
