"""Result tables and the output formats of commands."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgspec

from siskindale.registry import Registry


@attrs.frozen
class Listing:
    """Rows of a result; the human format prints `empty` if there are none."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]
    empty: str = "nothing to list"


FORMATTERS: Registry[Callable[[Listing], str]] = Registry("output format")


@FORMATTERS.register("human")
def format_human(listing: Listing) -> str:
    """Formats rows as aligned columns with a header line."""
    if not listing.rows:
        return listing.empty
    cells = [tuple(name.replace("_", " ") for name in listing.columns)]
    cells += [tuple(_format_value(value) for value in row) for row in listing.rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(listing.columns))]
    return "\n".join(_format_line(row, widths) for row in cells)


@FORMATTERS.register("json")
def format_json(listing: Listing) -> str:
    """Formats rows as a JSON list of objects with the columns as keys."""
    rows = [dict(zip(listing.columns, row, strict=True)) for row in listing.rows]
    return msgspec.json.format(msgspec.json.encode(rows)).decode()


def _format_line(row: Iterable[str], widths: Iterable[int]) -> str:
    return "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()


def _format_value(value: Any) -> str:
    if value is None or value in ((), ""):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(_format_value(item) for item in value)
    if isinstance(value, dict):
        return msgspec.json.encode(value).decode()
    return str(value)
