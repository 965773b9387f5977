"""Registries of the cross-field checks, and the rules that they share.

A check gets a whole structure and yields its problems; errors in types and fields are found by the
loader. Checks are independent of each other, so that all findings are reported at once.
"""

import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator

import attrs

from siskindale.models.bundle import Bundle
from siskindale.models.settings import Address, Settings
from siskindale.registry import Registry

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@attrs.frozen
class Problem:
    """What is wrong at a path, and how to correct it."""

    path: str
    problem: str
    remedy: str = ""


SettingsCheck = Callable[[Settings], Iterable[Problem]]
BundleCheck = Callable[[Bundle], Iterable[Problem]]
ChangeCheck = Callable[[Bundle, Bundle], Iterable[Problem]]

SETTINGS_CHECKS: Registry[SettingsCheck] = Registry("check of settings")
BUNDLE_CHECKS: Registry[BundleCheck] = Registry("check of bundles")
CHANGE_CHECKS: Registry[ChangeCheck] = Registry("check of changes between bundles")


def require_at_least(path: str, value: float, minimum: float) -> Iterator[Problem]:
    """Yields a problem if `value` is less than `minimum`."""
    if value < minimum:
        yield Problem(path, f"is {value}", f"expected {minimum} or more")


def require_less_than(path: str, value: float, other_path: str, other: float) -> Iterator[Problem]:
    """Yields a problem unless `value` is less than the value of another field."""
    if value >= other:
        yield Problem(path, f"is {value}", f"expected less than {other_path}, which is {other}")


def require_at_most(path: str, value: float, other_path: str, other: float) -> Iterator[Problem]:
    """Yields a problem if `value` is more than the value of another field."""
    if value > other:
        yield Problem(path, f"is {value}", f"expected at most {other_path}, which is {other}")


def require_valid_name(path: str, name: str) -> Iterator[Problem]:
    """Yields a problem unless `name` can be used in URLs, logs and metrics."""
    if not NAME_PATTERN.fullmatch(name):
        remedy = "expected up to 64 letters, digits, '.', '_' or '-', first a letter or a digit"
        yield Problem(path, f"{name!r} is not a valid name", remedy)


def require_valid_address(path: str, address: Address) -> Iterator[Problem]:
    """Yields the problems of an address that cannot be connected to."""
    try:
        host = ipaddress.ip_address(address.host)
    except ValueError:
        yield Problem(
            f"{path}.host", f"{address.host!r} is not an IP address", "host names are not supported"
        )
    else:
        if host.is_unspecified or host.is_multicast:
            yield Problem(f"{path}.host", f"{host} is not the address of a single VM")
    if not 1 <= address.port <= 65535:
        yield Problem(f"{path}.port", f"is {address.port}", "expected 1 to 65535")


def require_hex(
    path: str, value: str, minimum: int, maximum: int | None = None
) -> Iterator[Problem]:
    """Yields a problem unless `value` is `minimum` to `maximum` bytes in hexadecimal."""
    try:
        length = len(bytes.fromhex(value))
    except ValueError:
        yield Problem(path, "is not hexadecimal")
        return
    if length < minimum or (maximum is not None and length > maximum):
        expected = _expected_length(minimum, maximum)
        yield Problem(path, f"has {length} bytes", f"expected {expected}")


def _expected_length(minimum: int, maximum: int | None) -> str:
    if maximum is None:
        return f"{minimum} bytes or more"
    return f"{minimum} bytes" if maximum == minimum else f"{minimum} to {maximum} bytes"


def require_unique(kind: str, entries: Iterable[tuple[str, str]]) -> Iterator[Problem]:
    """Yields a problem for each (path, value) whose value is already used at an earlier path."""
    first_paths: dict[str, str] = {}
    for path, value in entries:
        if value in first_paths:
            yield Problem(path, f"{kind} {value!r} is already used at {first_paths[value]}")
        first_paths.setdefault(value, path)
