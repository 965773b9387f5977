"""Logging: one line of key=value pairs for each event.

structlog is imported when the first line is written. Importing it takes a tenth of the start-up
time of a session proxy, so the proxy calls `defer_output` when it starts and `configure` once it
serves; lines in between are kept until then.
"""

import sys
import time
import traceback
from collections.abc import Callable
from typing import Any, TextIO

import attrs

MAX_DEFERRED_LINES = 1000

WriteEvent = Callable[[str, str, dict[str, Any]], None]


@attrs.define
class _Output:
    """Destination of log lines; `deferred_lines` are kept until `configure` is called."""

    write: WriteEvent | None = None
    deferred: bool = False
    deferred_lines: list[tuple[float, str, str, dict[str, Any]]] = attrs.field(factory=list)


_output = _Output()


def defer_output() -> None:
    """Keeps log lines in memory until `configure` is called."""
    _output.write, _output.deferred = None, True


def configure(level: str, stream: TextIO, **fields: Any) -> None:
    """Sets up logging to `stream` with `fields` in every line, and writes the deferred lines."""
    from siskindale.runtime import structured_logs

    structured_logs.configure(level, stream, **fields)
    _output.write, _output.deferred = structured_logs.write, False
    deferred_lines, _output.deferred_lines = _output.deferred_lines, []
    for logged_at, method, event, values in deferred_lines:
        waited_ms = round((time.monotonic() - logged_at) * 1000, 1)
        _output.write(method, event, {**values, "waited_ms": waited_ms})


@attrs.frozen
class Logger:
    """Logs events with a fixed set of fields."""

    fields: dict[str, Any]

    def debug(self, event: str, **fields: Any) -> None:
        """Logs an event that is of interest only to developers."""
        self._log("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Logs an event of normal operation."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs a problem that the program handles itself."""
        self._log("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs a failure."""
        self._log("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs a failure with the traceback of the exception that is being handled."""
        self._log("exception", event, fields)

    def _log(self, method: str, event: str, fields: dict[str, Any]) -> None:
        values = {**self.fields, **fields}
        write = _output.write or _load_writer_unless_deferred()
        if write is not None:
            write(method, event, values)
        elif len(_output.deferred_lines) < MAX_DEFERRED_LINES:
            if method == "exception":
                method, values["exception"] = "error", traceback.format_exc()
            _output.deferred_lines.append((time.monotonic(), method, event, values))
        else:
            print(f"event={event} dropped: too many log lines before start-up", file=sys.stderr)


def _load_writer_unless_deferred() -> WriteEvent | None:
    if _output.deferred:
        return None
    from siskindale.runtime import structured_logs

    _output.write = structured_logs.write
    return _output.write


def logger(**fields: Any) -> Logger:
    """Returns a logger that adds `fields` to each of its lines."""
    return Logger(fields)
