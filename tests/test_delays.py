"""Estimated delays of messages between clocks that are not synchronised."""

import pytest

from siskindale.transport.delays import MINIMUM_WINDOW_S, SENDER_EXPIRY_S, DelayEstimator

OFFSET_S = 5000.0
TRANSIT_S = 0.001


def test_delay_is_relative_to_the_fastest_message() -> None:
    """Guards against running a request whose deadline passed in transit."""
    estimator = DelayEstimator()
    assert estimator.record_message("a", 10.0 - OFFSET_S, 10.0 + TRANSIT_S) == 0.0
    assert estimator.record_message("a", 11.0 - OFFSET_S, 11.7 + TRANSIT_S) == pytest.approx(0.7)


@pytest.mark.parametrize("drift", [20e-6, -20e-6])
def test_clock_drift_is_not_counted_as_delay(drift: float) -> None:
    """Guards against dropping all requests after days, when the clocks have drifted apart."""
    estimator = DelayEstimator()
    for second in range(0, 3 * 86_400, 10):
        sent_at = second * (1 - drift) - OFFSET_S
        assert estimator.record_message("a", sent_at, second + TRANSIT_S) < 0.01


def test_ended_boots_are_forgotten() -> None:
    """Guards against a record for every boot of every peer, which would grow without limit."""
    estimator = DelayEstimator()
    estimator.record_message("old", 0.0, 0.0)
    estimator.record_message("new", 0.0, SENDER_EXPIRY_S + MINIMUM_WINDOW_S)
    estimator.remove_silent_senders(SENDER_EXPIRY_S + MINIMUM_WINDOW_S)
    assert len(estimator) == 1
