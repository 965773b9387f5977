"""Delays of messages over clocks that are not synchronised."""

import pytest

from siskindale.transport.delays import FORGET_S, WINDOW_S, Delays

OFFSET_S = 5000.0
TRANSIT_S = 0.001


def test_delay_counts_from_the_fastest_message() -> None:
    """Guards against running a request whose deadline has passed on its way."""
    delays = Delays()
    assert delays.note("a", 10.0 - OFFSET_S, 10.0 + TRANSIT_S) == 0.0
    assert delays.note("a", 11.0 - OFFSET_S, 11.7 + TRANSIT_S) == pytest.approx(0.7)


@pytest.mark.parametrize("drift", [20e-6, -20e-6])
def test_drift_of_clocks_does_not_look_like_delay(drift: float) -> None:
    """Guards against dropping all requests after days, when the clocks have drifted apart."""
    delays = Delays()
    for second in range(0, 3 * 86_400, 10):
        sent_at = second * (1 - drift) - OFFSET_S
        assert delays.note("a", sent_at, second + TRANSIT_S) < 0.01


def test_ended_boots_are_forgotten() -> None:
    """Guards against a row for every start of every peer."""
    delays = Delays()
    delays.note("old", 0.0, 0.0)
    delays.note("new", 0.0, FORGET_S + WINDOW_S)
    delays.forget_silent(FORGET_S + WINDOW_S)
    assert len(delays) == 1
