"""Settings file of a VM that runs the session proxy: JSON with comments."""

import json
from collections.abc import Mapping
from os import PathLike
from typing import Any

from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.models.address import Address
from siskindale.models.vm import ProxySettings

Findings = tuple[Finding, ...]

_OPTIONAL = frozenset({"seeds", "drain_ms", "grace_s", "metrics_port", "log_level"})
_FIELDS = _OPTIONAL | {
    "vm",
    "failure_domain",
    "clients",
    "readiness",
    "peers",
    "store",
    "promotions",
}
_LOG_LEVELS = ("debug", "info", "warning", "error")


def load_settings(path: str | PathLike[str]) -> Result[ProxySettings, Findings]:
    """Loads the settings of a VM; fails with every finding and its place."""
    return _read(path).bind(lambda raw: _structure(raw, str(path)))


def _read(path: str | PathLike[str]) -> Result[Any, Findings]:
    try:
        # Importing pathlib would take some milliseconds of the start.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error)),))
    try:
        return Success(json.loads(text))
    except ValueError:
        # A generated file is plain JSON; importing the general loader takes a tenth of the start.
        from siskindale.config import loader

        return loader.parse_json(text, str(path))


def _structure(raw: Any, source: str) -> Result[ProxySettings, Findings]:
    if not isinstance(raw, Mapping):
        return Failure((Finding(f"{source}: $", "is no object"),))
    fields = _Fields(raw, source)
    settings = fields.settings()
    return Failure(tuple(fields.findings)) if settings is None else Success(settings)


class _Fields:
    """Reads fields by their name and collects what is wrong with them."""

    def __init__(self, raw: Mapping[str, Any], source: str) -> None:
        self._raw = raw
        self._source = source
        self.findings: list[Finding] = []

    def settings(self) -> ProxySettings | None:
        """Returns the settings, None if there are findings."""
        settings = ProxySettings(
            vm=self._text("vm"),
            failure_domain=self._text("failure_domain"),
            clients=self._address("clients"),
            readiness=self._address("readiness"),
            peers=self._address("peers"),
            store=self._address("store"),
            promotions=self._address("promotions"),
            seeds=self._seeds(),
            drain_s=self._number("drain_ms", 7000) / 1000,
            grace_s=self._number("grace_s", 6),
            metrics_port=self._port("metrics_port", 9464),
            log_level=self._log_level(),
        )
        for name in sorted(self._raw.keys() - _FIELDS):
            self._report(name, "unknown field", f"known: {', '.join(sorted(_FIELDS))}")
        return None if self.findings else settings

    def _text(self, name: str) -> str:
        value = self._raw.get(name)
        if isinstance(value, str) and value:
            return value
        return self._wrong(name, "a text is needed", "")

    def _number(self, name: str, default: float) -> float:
        value = self._raw.get(name, default)
        if isinstance(value, int | float) and not isinstance(value, bool) and value >= 0:
            return float(value)
        return self._wrong(name, "a number of zero or more is needed", default)

    def _port(self, name: str, default: int) -> int:
        value = self._raw.get(name, default)
        if type(value) is int and 0 < value < 65536:
            return value
        return self._wrong(name, "a port is needed", default)

    def _log_level(self) -> str:
        value = self._raw.get("log_level", "info")
        if value in _LOG_LEVELS:
            return str(value)
        return self._wrong("log_level", f"known: {', '.join(_LOG_LEVELS)}", "info")

    def _seeds(self) -> tuple[Address, ...]:
        seeds = self._raw.get("seeds", [])
        if not isinstance(seeds, list):
            return self._wrong("seeds", "a list of addresses is needed", ())
        return tuple(self._parse(f"seeds[{index}]", seed) for index, seed in enumerate(seeds))

    def _address(self, name: str) -> Address:
        if name not in self._raw:
            return self._wrong(name, "write HOST:PORT", Address("", 0))
        return self._parse(name, self._raw[name])

    def _parse(self, path: str, text: Any) -> Address:
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if host and port.isdigit() and 0 < int(port) < 65536:
            return Address(host, int(port))
        self._report(path, f"is not an address: {text!r}", "write HOST:PORT")
        return Address("", 0)

    def _wrong(self, name: str, remedy: str, default: Any) -> Any:
        problem = f"invalid value: {self._raw[name]!r}" if name in self._raw else "is missing"
        self._report(name, problem, remedy)
        return default

    def _report(self, path: str, problem: str, remedy: str) -> None:
        self.findings.append(Finding(f"{self._source}: $.{path}", problem, remedy))
