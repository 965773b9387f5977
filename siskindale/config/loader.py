"""Loading of settings and bundles: JSON with comments into attrs classes."""

from pathlib import Path
from typing import TypeVar

import cattrs
import json5
from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.models.bundle import Bundle
from siskindale.models.settings import Settings

T = TypeVar("T")


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Loads the settings of a VM; fails with every finding."""
    return load(path, Settings)


def load_bundle(path: Path) -> Result[Bundle, tuple[Finding, ...]]:
    """Loads an unsigned bundle; fails with every finding."""
    return load(path, Bundle)


def load(path: Path, cls: type[T]) -> Result[T, tuple[Finding, ...]]:
    """Loads one file into an attrs class; fails with every finding and its place."""
    try:
        raw = json5.loads(path.read_text())
    except OSError as error:
        return Failure((Finding(str(path), error.strerror or str(error)),))
    except ValueError as error:
        return Failure((Finding(str(path), str(error)),))
    return structure(raw, cls, str(path))


def structure(raw: object, cls: type[T], source: str) -> Result[T, tuple[Finding, ...]]:
    """Builds an attrs class from decoded JSON; fails with every finding and its path."""
    try:
        return Success(_CONVERTER.structure(raw, cls))
    except (cattrs.BaseValidationError, cattrs.StructureHandlerNotFoundError) as error:
        lines = cattrs.transform_error(error, path="$")
        return Failure(tuple(_finding(source, line) for line in lines))


def _finding(source: str, line: str) -> Finding:
    problem, _, path = line.rpartition(" @ ")
    return Finding(f"{source}: {path}" if path else source, problem or line)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
