"""Tests of the log positions that reads require."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions.freshness import Freshness, required_position

BuildRoute = Callable[..., Route]


def test_the_oldest_sample_that_is_fresh_enough_is_required(route: BuildRoute) -> None:
    """Guards against reads that require a higher position than necessary, which replicas lack."""
    freshness = Freshness()
    for second in range(5):
        freshness.add_sample(LogPosition(1, second), float(second))
    assert required_position(route(), freshness, None, 4.0) == LogPosition(1, 3)


def test_without_a_fresh_sample_only_the_primary_serves(route: BuildRoute) -> None:
    """Guards against reads of unknown age when the end of the log was not sampled recently."""
    freshness = Freshness()
    freshness.add_sample(LogPosition(1, 1), 1.0)
    assert required_position(route(), freshness, None, 2.6) is None


def test_reads_of_a_session_need_its_last_commit(route: BuildRoute) -> None:
    """Guards against a session that does not see its own commit."""
    freshness = Freshness()
    freshness.add_sample(LogPosition(1, 1), 1.0)
    session_route = route(consistency=Consistency.SESSION)
    assert required_position(session_route, freshness, LogPosition(1, 7), 1.0) == LogPosition(1, 7)
    assert required_position(route(), freshness, LogPosition(1, 7), 1.0) == LogPosition(1, 1)


def test_reads_of_the_latest_data_are_never_served_by_position(route: BuildRoute) -> None:
    """Guards against a read at a replica that lacks a commit of another session."""
    freshness = Freshness()
    freshness.add_sample(LogPosition(1, 1), 1.0)
    assert required_position(route(consistency=Consistency.LATEST), freshness, None, 1.0) is None


@pytest.mark.parametrize("remaining", [LogPosition(1, 42), LogPosition(2, 43)])
def test_positions_that_a_promotion_rolled_back_are_dropped(
    route: BuildRoute, remaining: LogPosition
) -> None:
    """Guards against reads that wait for a position that no log has any more.

    Until its first commit a new primary still reports a position of the old term.
    """
    freshness = Freshness()
    freshness.add_sample(LogPosition(1, 45), 1.0)
    freshness.add_sample(remaining, 2.0)
    assert required_position(route(), freshness, None, 2.0) == remaining


@given(
    st.lists(st.tuples(st.integers(0, 3), st.floats(0, 0.3)), min_size=1, max_size=60),
    st.floats(0, 4),
)
def test_a_required_position_covers_what_was_acknowledged(
    commits: list[tuple[int, float]], staleness: float
) -> None:
    """Guards against treating a sample as newer than it is.

    Commits and samples alternate; the required position must cover every commit that is older than
    the accepted staleness.
    """
    bounded = Route("r", "d", "g", Consistency.BOUNDED, 1.0, 1.0, 1, max_staleness_s=staleness)
    freshness = Freshness()
    now, number = 10.0, 0
    acknowledged: list[tuple[float, int]] = []
    for count, pause in commits:
        now += pause
        freshness.add_sample(LogPosition(1, number), now)
        number += count
        acknowledged.append((now + pause / 2, number))
    required = required_position(bounded, freshness, None, now)
    acknowledged_before = [n for at, n in acknowledged if at < now - staleness]
    assert (
        required is None or not acknowledged_before or required.position >= acknowledged_before[-1]
    )
