"""Parser of request headers for the HTTP server.

The parser of the standard library takes over half of the time of a small request, because it treats
headers as mail. This one also refuses what two programs could read differently.
"""

import re
from collections.abc import Iterator
from typing import Protocol

LINE_MAX = 16 << 10
FIELDS_MAX = 100

_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00\r\n]*?)[ \t]*\r?\n")
_END = (b"\r\n", b"\n")


class LineReader(Protocol):
    """Source of the lines of a header."""

    def readline(self, limit: int, /) -> bytes:
        """Returns one line, empty at the end of the connection."""
        ...


class HeaderBlock:
    """Fields of one request in their order; raises `ValueError` unless they are valid and whole."""

    status = ""

    def __init__(self, reader: LineReader) -> None:
        self._fields: list[tuple[str, str]] = []
        while (line := reader.readline(LINE_MAX)) not in _END:
            field = _FIELD.fullmatch(line)
            if field is None:
                raise ValueError("a line of the header is not valid or not complete")
            name, value = field.groups()
            self._fields.append((name.decode("latin-1").lower(), value.decode("latin-1")))
            if len(self._fields) > FIELDS_MAX:
                raise ValueError(f"the header has more than {FIELDS_MAX} fields")
        self._first = dict(reversed(self._fields))

    @property
    def typeheader(self) -> str | None:
        """Content type, None where it is absent."""
        return self._first.get("content-type")

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns the first value of a field."""
        return self._first.get(name.lower(), default)

    getheader = get

    def get_all(self, name: str) -> list[str]:
        """Returns all values of a field, whose name is in lower case."""
        return [value for found, value in self._fields if found == name]

    def __delitem__(self, name: str) -> None:
        del self._first[name]
        self._fields = [field for field in self._fields if field[0] != name]

    def environ(self) -> Iterator[tuple[str, str]]:
        """Yields the fields by their names in a WSGI environment.

        Names with an underscore are left out: they would pass for others with a hyphen.
        """
        for name, value in self._fields:
            if "_" not in name and name not in ("content-type", "content-length"):
                yield "HTTP_" + name.replace("-", "_").upper(), value
