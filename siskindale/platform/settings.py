"""Settings file of the platform: TOML with the platform's names."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from siskindale.config.findings import Finding
from siskindale.models.address import Address
from siskindale.models.vm import ProxySettings

SETTINGS_VARIABLE = "SISKINDALE_SETTINGS"


def load_settings(path: Path) -> Result[ProxySettings, tuple[Finding, ...]]:
    """Loads the settings of a VM; fails with every finding and its place."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Failure((Finding(str(path), str(error)),))
    fields = _Fields(raw, str(path))
    settings = fields.settings()
    return Failure(tuple(fields.findings)) if settings is None else Success(settings)


class _Fields:
    """Reads fields by their path and collects what is wrong with them."""

    def __init__(self, raw: Mapping[str, Any], source: str) -> None:
        self._raw = raw
        self._source = source
        self.findings: list[Finding] = []

    def settings(self) -> ProxySettings | None:
        """Returns the settings, None if there are findings."""
        values = {
            "vm": self._value("node", str, ""),
            "failure_domain": self._value("zone", str, ""),
            "clients": self._address("listen.front"),
            "readiness": self._address("listen.readiness_addr"),
            # Nobody outside calls this address; the VMs of a deployment exchange state there.
            "peers": self._address("listen.control"),
            "store": self._address("platform.address"),
            "promotions": self._address("cloud.address"),
            "seeds": self._seeds(),
            "drain_s": self._value("bounds.drain_ms", (int, float), 7000) / 1000,
            "grace_s": float(self._value("bounds.grace_s", (int, float), 6)),
        }
        return None if self.findings else ProxySettings(**values)

    def _find(self, path: str) -> Any:
        found: Any = self._raw
        for name in path.split("."):
            found = found.get(name) if isinstance(found, Mapping) else None
        return found

    def _value(self, path: str, kind: Any, default: Any) -> Any:
        value = self._find(path)
        if isinstance(value, kind) and not isinstance(value, bool):
            return value
        if value is None and default != "":
            return default
        problem = "is missing" if value is None else f"has the wrong type: {value!r}"
        self._report(path, problem, "a text is needed" if kind is str else "a number is needed")
        return default

    def _address(self, path: str) -> Address:
        return self._parse(path, self._find(path))

    def _seeds(self) -> tuple[Address, ...]:
        seeds = self._find("seeds")
        return tuple(
            self._parse(f"seeds[{index}]", seed)
            for index, seed in enumerate(seeds if isinstance(seeds, list) else ())
        )

    def _parse(self, path: str, text: Any) -> Address:
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if host and port.isdigit() and 0 < int(port) < 65536:
            return Address(host, int(port))
        self._report(path, f"is not an address: {text!r}", "write HOST:PORT")
        return Address("", 0)

    def _report(self, path: str, problem: str, remedy: str) -> None:
        self.findings.append(Finding(f"{self._source}: $.{path}", problem, remedy))
