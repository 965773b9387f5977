"""Loads settings and bundles from JSON with comments into attrs classes."""

import json
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import json5
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.config.structuring import structure
from siskindale.models.bundle import Bundle
from siskindale.models.settings import Settings

T = TypeVar("T")

_SYNTAX_ERROR = re.compile(
    r"<string>:(?P<line>\d+) (?P<problem>.*) at column (?P<column>\d+)", re.S
)


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Loads the settings of a VM; fails with all findings."""
    return load_file(path, Settings)


def load_bundle(path: Path) -> Result[Bundle, tuple[Finding, ...]]:
    """Loads an unsigned bundle; fails with all findings."""
    return load_file(path, Bundle)


def load_file(path: Path, cls: type[T]) -> Result[T, tuple[Finding, ...]]:
    """Loads one file into an attrs class; fails with all findings and their places."""
    return read_json(path).bind(lambda raw: structure(raw, cls, str(path)))


def read_json(path: Path) -> Result[Any, tuple[Finding, ...]]:
    """Reads and decodes one file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Failure((Finding(str(path), error.strerror or str(error)),))
    except UnicodeDecodeError as error:
        return Failure((Finding(str(path), f"not UTF-8 at byte {error.start}"),))
    return parse_json(text, str(path))


def parse_json(text: str, source: str) -> Result[Any, tuple[Finding, ...]]:
    """Decodes JSON with comments; a syntax error is reported with line and column.

    Plain JSON is tried first: json5 decodes about 27 KB/s and would take half a minute for a bundle
    of 920 groups.
    """
    try:
        return Success(
            json.loads(
                text, object_pairs_hook=_reject_duplicate_keys, parse_constant=_reject_constant
            )
        )
    except (ValueError, RecursionError):
        pass
    try:
        return Success(json5.loads(text, allow_duplicate_keys=False))
    except ValueError as error:
        return Failure((_syntax_finding(str(error), source),))
    except RecursionError:
        return Failure((Finding(source, "nested too deeply"),))


def _reject_duplicate_keys(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    decoded: dict[str, Any] = {}
    for key, value in pairs:
        if key in decoded:
            raise ValueError(f"duplicate key {key!r}")
        decoded[key] = value
    return decoded


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not valid JSON")


def _syntax_finding(message: str, source: str) -> Finding:
    match = _SYNTAX_ERROR.fullmatch(message)
    problem = match["problem"] if match else message
    place = f"{source}:{match['line']}:{match['column']}" if match else source
    return Finding(place, problem[:1].lower() + problem[1:].replace("\n", "\\n"))


__all__ = ["load_bundle", "load_file", "load_settings", "parse_json", "read_json", "structure"]
