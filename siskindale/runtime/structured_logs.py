"""Rendering of log lines by structlog: key=value pairs, one line for each event."""

import logging
import re
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

import structlog

Method = Callable[..., None]

_METHODS = ("debug", "info", "warning", "error", "exception")
_methods: dict[str, Method] = {}


def configure(level: str, stream: TextIO, **fields: Any) -> None:
    """Sets up logging to `stream`; `fields` stand in every line of this program."""
    structlog.configure(
        processors=[
            _in_order(fields),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )
    # Binding a logger for each line would take a quarter of its time.
    bound = structlog.get_logger().bind()
    _methods.update({name: getattr(bound, name) for name in _METHODS})


def _in_order(fields: dict[str, Any]) -> Any:
    """Returns the processor that puts fields into the order of a line; others fill in the first.

    Context variables do not reach greenlets that run already, so it adds the constant `fields` too.
    """

    def order(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        return {"timestamp": "", "level": "", "event": event["event"], **fields, **event}

    return order


_LOGFMT = structlog.processors.LogfmtRenderer()
_QUOTED = re.compile(r'[\x00-\x20="\\\x7f]')
_PLAIN_TYPES = frozenset({str, int, float})


def _render(wrapped: Any, method: str, event: MutableMapping[str, Any]) -> str:
    """Renders a line; the general renderer takes a tenth of the time of a small request.

    It is left to lines with values that need quotes or a special form.
    """
    if not _PLAIN_TYPES.issuperset(map(type, event.values())):
        return _LOGFMT(wrapped, method, event)
    values = list(map(str, event.values()))
    if _QUOTED.search("".join(values)):
        return _LOGFMT(wrapped, method, event)
    return " ".join(map("=".join, zip(event, values, strict=True)))


def write(method: str, event: str, fields: dict[str, Any]) -> None:
    """Logs one event; `method` is the name of its level, or `exception`."""
    if structlog.is_configured():
        _methods[method](event, **fields)
    else:
        getattr(structlog.get_logger(), method)(event, **fields)
