"""Tests of the propagation of a bundle to the programs of seven VMs."""

from pathlib import Path

import pytest

from bench.propagation import BOUND_S, measure


@pytest.mark.timeout(180)
def test_bundle_is_in_effect_everywhere_within_the_bound(tmp_path: Path) -> None:
    """Guards against programs that still use an old bundle after outages and restarts."""
    found = measure(tmp_path, 1)
    assert [item.programs for item in found] == [21, 21, 21]
    assert max(item.max_s for item in found) <= BOUND_S
