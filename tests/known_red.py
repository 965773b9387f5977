"""Pytest plugin: passes over the tests that KNOWN-RED.txt names, which .ci/run prints.

Each entry of the file has a line `test: <node id>`; only that exact test is passed over. An entry
that names no collected test is an error, so that the file cannot go stale.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red() -> set[str]:
    """Returns the node ids that the file names."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects the named tests; a whole run must have collected each of them."""
    names = known_red()
    red = [item for item in items if item.nodeid in names]
    missing = names - {item.nodeid for item in red}
    whole_run = config.args == config.getini("testpaths") or config.args == ["tests"]
    if missing and whole_run:
        raise pytest.UsageError(f"KNOWN-RED.txt names unknown tests: {', '.join(sorted(missing))}")
    items[:] = [item for item in items if item.nodeid not in names]
    config.hook.pytest_deselected(items=red)
