"""Capacity figures: their computation and their page."""

import pytest

from bench.capacity import model, page


def test_page_agrees_with_measurements_and_arithmetic() -> None:
    """Guards against figures on the page that do not follow from the measurements."""
    assert page.is_current()


def test_slope_of_a_line() -> None:
    """Guards against a slope with a wrong unit or swapped axes."""
    assert model.slope({10: 25.0, 20: 45.0, 40: 85.0}) == pytest.approx(2.0)


def test_verdict_names_the_shortfall() -> None:
    """Guards against a quantity over its limit that is not reported."""
    line = model.Line("node", "memory", 160.0, "MB", 64.0, "tables")
    assert line.verdict == "short by 2.5x"
