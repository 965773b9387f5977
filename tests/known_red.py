"""Pytest plugin: deselects the tests listed in KNOWN-RED.txt, which .ci/run prints.

Each entry has a line `test: <node id>`, and only that exact test is deselected. In a full run, an
entry that matches no collected test is an error, so that the file cannot become outdated.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def known_red_ids() -> set[str]:
    """Returns the node ids listed in the file."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects the listed tests; in a full run, each of them must have been collected."""
    listed_ids = known_red_ids()
    known_red_items = [item for item in items if item.nodeid in listed_ids]
    unknown_ids = listed_ids - {item.nodeid for item in known_red_items}
    is_full_run = config.args == config.getini("testpaths") or config.args == ["tests"]
    if unknown_ids and is_full_run:
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists unknown tests: {', '.join(sorted(unknown_ids))}"
        )
    items[:] = [item for item in items if item.nodeid not in listed_ids]
    config.hook.pytest_deselected(items=known_red_items)
