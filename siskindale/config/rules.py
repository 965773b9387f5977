"""Registries of the cross-field checks.

A check looks at a whole structure and yields what is wrong with it; structural findings come from
the loader. Checks are independent of each other, so that all findings are reported at once.
"""

import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator

import attrs

from siskindale.models.bundle import Bundle
from siskindale.models.settings import Address, Settings
from siskindale.registry import Registry

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@attrs.frozen
class Problem:
    """What is wrong at a path, and what would be right."""

    path: str
    problem: str
    remedy: str = ""


SettingsCheck = Callable[[Settings], Iterable[Problem]]
BundleCheck = Callable[[Bundle], Iterable[Problem]]
ChangeCheck = Callable[[Bundle, Bundle], Iterable[Problem]]

SETTINGS_CHECKS: Registry[SettingsCheck] = Registry("check of settings")
BUNDLE_CHECKS: Registry[BundleCheck] = Registry("check of bundles")
CHANGE_CHECKS: Registry[ChangeCheck] = Registry("check of changes between bundles")


def below(path: str, value: float, least: float) -> Iterator[Problem]:
    """Yields a problem if `value` is below `least`."""
    if value < least:
        yield Problem(path, f"is {value}", f"expected {least} or more")


def not_below(path: str, value: float, other_path: str, other: float) -> Iterator[Problem]:
    """Yields a problem unless `value` is less than the value of another field."""
    if value >= other:
        yield Problem(path, f"is {value}", f"expected less than {other_path}, which is {other}")


def above(path: str, value: float, other_path: str, other: float) -> Iterator[Problem]:
    """Yields a problem if `value` is more than the value of another field."""
    if value > other:
        yield Problem(path, f"is {value}", f"expected at most {other_path}, which is {other}")


def bad_name(path: str, name: str) -> Iterator[Problem]:
    """Yields a problem for a name that does not fit into URLs, logs and metrics."""
    if not NAME.fullmatch(name):
        remedy = "expected up to 64 letters, digits, '.', '_' or '-', not starting with a sign"
        yield Problem(path, f"{name!r} is not a name", remedy)


def bad_address(path: str, address: Address) -> Iterator[Problem]:
    """Yields problems of an address that cannot be connected to."""
    try:
        host = ipaddress.ip_address(address.host)
    except ValueError:
        yield Problem(f"{path}.host", f"{address.host!r} is not an IP number", "names are not used")
    else:
        if host.is_unspecified or host.is_multicast:
            yield Problem(f"{path}.host", f"{host} is no address of one VM")
    if not 1 <= address.port <= 65535:
        yield Problem(f"{path}.port", f"is {address.port}", "expected 1 to 65535")


def bad_hex(path: str, text: str, least: int, most: int | None = None) -> Iterator[Problem]:
    """Yields a problem unless `text` is hexadecimal of `least` to `most` bytes."""
    try:
        length = len(bytes.fromhex(text))
    except ValueError:
        yield Problem(path, "is not hexadecimal")
        return
    if length < least or (most is not None and length > most):
        expected = f"{least} bytes" if most == least else f"{least} bytes or more"
        yield Problem(path, f"has {length} bytes", f"expected {expected}")


def repeated(what: str, places: Iterable[tuple[str, str]]) -> Iterator[Problem]:
    """Yields a problem for each (path, value) whose value stood at an earlier path."""
    first: dict[str, str] = {}
    for path, value in places:
        if value in first:
            yield Problem(path, f"{what} {value!r} is already used at {first[value]}")
        first.setdefault(value, path)
