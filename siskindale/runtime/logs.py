"""Logging: one line of key=value pairs for each event."""

import logging
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog


def configure(level: str, stream: TextIO, **fields: Any) -> None:
    """Sets up logging to `stream`; `fields` stand in every line of this program."""
    structlog.configure(
        processors=[
            _constant_fields(fields),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )


def _constant_fields(fields: dict[str, Any]) -> Any:
    # Context variables do not reach greenlets that run already, so a processor adds the fields.
    def add(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        return {**fields, **event}

    return add


def logger(**fields: Any) -> Any:
    """Returns a logger with `fields` in each of its lines."""
    return structlog.get_logger(**fields)
