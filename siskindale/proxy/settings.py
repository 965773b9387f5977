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

_OPTIONAL_FIELDS = frozenset(
    {"seeds", "drain_ms", "grace_s", "metrics_port", "log_level", "processor_share", "cores"}
) | {
    "catalog_apply_ms",
    "strict_revoke",
    "revoke_ms",
    "quota_window_s",
    "quota_overage",
    "quota_slack",
}
_KNOWN_FIELDS = _OPTIONAL_FIELDS | {
    "vm",
    "failure_domain",
    "clients",
    "readiness",
    "peers",
    "store",
    "promotions",
    "forwarding",
}
_LOG_LEVELS = ("debug", "info", "warning", "error")
# Stands for an address that the settings do not give correctly, which is a finding.
_NO_ADDRESS = Address("0.0.0.0", 0)


def load_settings(path: str | PathLike[str]) -> Result[ProxySettings, Findings]:
    """Loads the settings of a VM; fails with every finding and its place."""
    return _read_json(path).bind(lambda raw: _parse_settings(raw, str(path)))


def _read_json(path: str | PathLike[str]) -> Result[Any, Findings]:
    try:
        # Importing pathlib would delay the start by some milliseconds.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(str(path), str(error)),))
    try:
        return Success(json.loads(text))
    except ValueError:
        # Generated files are plain JSON; importing the general loader takes a tenth of the start.
        from siskindale.config import loader

        return loader.parse_json(text, str(path))


def _parse_settings(raw: Any, source: str) -> Result[ProxySettings, Findings]:
    if not isinstance(raw, Mapping):
        return Failure((Finding(f"{source}: $", "is not an object"),))
    reader = _SettingsReader(raw, source)
    settings = reader.read_settings()
    return Failure(tuple(reader.findings)) if settings is None else Success(settings)


class _SettingsReader:
    """Reads fields by name and collects findings on invalid ones."""

    def __init__(self, raw: Mapping[str, Any], source: str) -> None:
        self._raw = raw
        self._source = source
        self.findings: list[Finding] = []

    def read_settings(self) -> ProxySettings | None:
        """Returns the settings, or None if there are findings."""
        settings = ProxySettings(
            vm=self._read_string("vm"),
            failure_domain=self._read_string("failure_domain"),
            clients=self._read_address("clients"),
            readiness=self._read_address("readiness"),
            peers=self._read_address("peers"),
            store=self._read_address("store"),
            promotions=self._read_address("promotions"),
            forwarding=self._read_address("forwarding"),
            seeds=self._read_seeds(),
            drain_s=self._read_number("drain_ms", 7000) / 1000,
            grace_s=self._read_number("grace_s", 6),
            metrics_port=self._read_port("metrics_port", 9464),
            log_level=self._read_log_level(),
            catalog_apply_s=self._read_number("catalog_apply_ms", 3000) / 1000,
            processor_share=self._read_number("processor_share", 1.0),
            cores=int(self._read_number("cores", 1)),
            strict_revoke=self._read_flag("strict_revoke"),
            revoke_s=self._read_number("revoke_ms", 5000) / 1000,
            quota_window_s=self._read_number("quota_window_s", 5),
            quota_overage=self._read_number("quota_overage", 0),
            quota_slack=self._read_number("quota_slack", 0),
        )
        for name in sorted(self._raw.keys() - _KNOWN_FIELDS):
            self._add_finding(name, "unknown field", f"known: {', '.join(sorted(_KNOWN_FIELDS))}")
        return None if self.findings else settings

    def _read_string(self, name: str) -> str:
        value = self._raw.get(name)
        if isinstance(value, str) and value:
            return value
        return self._report_invalid(name, "must be a non-empty string", "")

    def _read_number(self, name: str, default: float) -> float:
        value = self._raw.get(name, default)
        if isinstance(value, int | float) and not isinstance(value, bool) and value >= 0:
            return float(value)
        return self._report_invalid(name, "must be a number of at least 0", default)

    def _read_flag(self, name: str) -> bool:
        value = self._raw.get(name, False)
        if isinstance(value, bool):
            return value
        return self._report_invalid(name, "must be true or false", False)

    def _read_port(self, name: str, default: int) -> int:
        value = self._raw.get(name, default)
        if type(value) is int and 0 < value < 65536:
            return value
        return self._report_invalid(name, "must be a port number from 1 to 65535", default)

    def _read_log_level(self) -> str:
        value = self._raw.get("log_level", "info")
        if value in _LOG_LEVELS:
            return str(value)
        return self._report_invalid("log_level", f"known: {', '.join(_LOG_LEVELS)}", "info")

    def _read_seeds(self) -> tuple[Address, ...]:
        seeds = self._raw.get("seeds", [])
        if not isinstance(seeds, list):
            return self._report_invalid("seeds", "must be a list of addresses HOST:PORT", ())
        return tuple(
            self._parse_address(f"seeds[{index}]", seed) for index, seed in enumerate(seeds)
        )

    def _read_address(self, name: str) -> Address:
        if name not in self._raw:
            return self._report_invalid(name, "write HOST:PORT", _NO_ADDRESS)
        return self._parse_address(name, self._raw[name])

    def _parse_address(self, path: str, text: Any) -> Address:
        try:
            address = Address.parse(text if isinstance(text, str) else "")
        except ValueError:
            address = _NO_ADDRESS
        if address.port:
            return address
        self._add_finding(path, f"is not an address: {text!r}", "write HOST:PORT")
        return _NO_ADDRESS

    def _report_invalid(self, name: str, remedy: str, default: Any) -> Any:
        problem = f"invalid value: {self._raw[name]!r}" if name in self._raw else "is missing"
        self._add_finding(name, problem, remedy)
        return default

    def _add_finding(self, path: str, problem: str, remedy: str) -> None:
        self.findings.append(Finding(f"{self._source}: $.{path}", problem, remedy))
