"""Logging: one line of key=value pairs for each event.

The library behind it is imported with the first line. A session proxy calls `defer` at its start
and `configure` only once it serves, because the import takes a tenth of its start; what it logs
between is kept until then.
"""

import sys
import time
import traceback
from collections.abc import Callable
from typing import Any, TextIO

import attrs

MAX_EARLY_LINES = 1000

Write = Callable[[str, str, dict[str, Any]], None]


@attrs.define
class _Output:
    """Where lines go; `early` holds those that are deferred until the configuration."""

    write: Write | None = None
    deferred: bool = False
    early: list[tuple[float, str, str, dict[str, Any]]] = attrs.field(factory=list)


_output = _Output()


def defer() -> None:
    """Keeps lines until `configure` is called."""
    _output.write, _output.deferred = None, True


def configure(level: str, stream: TextIO, **fields: Any) -> None:
    """Sets up logging to `stream`; `fields` stand in every line of this program."""
    from siskindale.runtime import structured_logs

    structured_logs.configure(level, stream, **fields)
    _output.write, _output.deferred = structured_logs.write, False
    early, _output.early = _output.early, []
    for logged_at, method, event, values in early:
        waited_ms = round((time.monotonic() - logged_at) * 1000, 1)
        _output.write(method, event, {**values, "waited_ms": waited_ms})


@attrs.frozen
class Logger:
    """Writes events with its fields in each of their lines."""

    fields: dict[str, Any]

    def debug(self, event: str, **fields: Any) -> None:
        """Logs an event that only developers need."""
        self._log("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Logs an event of normal operation."""
        self._log("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an event that the program copes with."""
        self._log("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs a failure."""
        self._log("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs a failure with the exception that is being handled."""
        self._log("exception", event, fields)

    def _log(self, method: str, event: str, fields: dict[str, Any]) -> None:
        values = {**self.fields, **fields}
        write = _output.write or _load_unless_deferred()
        if write is not None:
            write(method, event, values)
        elif len(_output.early) < MAX_EARLY_LINES:
            if method == "exception":
                method, values["exception"] = "error", traceback.format_exc()
            _output.early.append((time.monotonic(), method, event, values))
        else:
            print(f"event={event} log lines before the start are dropped", file=sys.stderr)


def _load_unless_deferred() -> Write | None:
    if _output.deferred:
        return None
    from siskindale.runtime import structured_logs

    _output.write = structured_logs.write
    return _output.write


def logger(**fields: Any) -> Logger:
    """Returns a logger with `fields` in each of its lines."""
    return Logger(fields)
