"""Rendering of log lines, and lines deferred during start-up."""

import io
from typing import Any

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from siskindale.runtime import logs

VALUES = st.one_of(st.text(), st.integers(), st.floats(), st.none(), st.booleans())


def log_line(**fields: Any) -> str:
    """Logs one event and returns its line without the timestamp."""
    stream = io.StringIO()
    logs.configure("info", stream, vm="vm1")
    try:
        structlog.get_logger().info("request", **fields)
    finally:
        structlog.reset_defaults()
    return stream.getvalue().partition(" ")[2]


def test_deferred_lines_are_written_with_the_configuration() -> None:
    """Guards against losing lines logged during start-up, or deferring without `defer_output`."""
    stream = io.StringIO()
    logs.defer_output()
    logs.logger(vm="vm1").info("early")
    logs.configure("info", stream)
    try:
        logs.logger().info("later")
    finally:
        structlog.reset_defaults()
    deferred_line, next_line = stream.getvalue().splitlines()
    assert "event=early vm=vm1 waited_ms=" in deferred_line
    assert next_line.endswith("event=later")
    logs.logger().info("not deferred")
    logs.configure("info", stream)
    structlog.reset_defaults()
    assert "not deferred" not in stream.getvalue()


@pytest.mark.usefixtures("unicode_tables")
@given(st.dictionaries(st.sampled_from(["caller", "pool", "outcome"]), VALUES))
def test_fast_path_equals_general_renderer(fields: dict[str, Any]) -> None:
    """Guards against values that forge log fields or log lines."""
    logfmt_renderer = structlog.processors.LogfmtRenderer(key_order=["level", "event"])
    expected = logfmt_renderer(
        None, "", {"level": "info", "event": "request", "vm": "vm1", **fields}
    )
    assert log_line(**fields) == expected + "\n"


@pytest.mark.parametrize("value", ["a b", "a=b", 'a"b', "a\nb", ""])
def test_one_line_for_each_event(value: str) -> None:
    """Guards against caller-supplied text that adds lines to the log."""
    assert log_line(caller=value).count("\n") == 1
