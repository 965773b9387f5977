"""Checks of settings beyond their types; each one registers itself and yields findings."""

import collections
import ipaddress
import logging
from collections.abc import Callable, Iterator

import siskindale.platform.http
import siskindale.targets.http  # noqa: F401 - registers the drivers
from siskindale.config.findings import Finding
from siskindale.models.settings import Address, Settings
from siskindale.platform.interface import PLATFORM_DRIVERS
from siskindale.registry import Registry
from siskindale.targets.interface import TARGET_DRIVERS

Check = Callable[[Settings], Iterator[Finding]]

CHECKS: Registry[Check] = Registry("check of settings")
KEY_BYTES_MIN = 32
PUBLIC_KEY_BYTES = 32


def check(settings: Settings) -> tuple[Finding, ...]:
    """Returns the findings of all checks."""
    return tuple(finding for name in CHECKS.names for finding in CHECKS.get(name)(settings))


def listening(settings: Settings) -> dict[str, Address]:
    """Returns the addresses that the programs of the VM listen on, by their path."""
    sections = {
        "entry": settings.entry,
        "pool": settings.pool,
        "controller": settings.controller,
    }
    return {
        f"$.{name}.{part}": getattr(section, part)
        for name, section in sections.items()
        for part in ("listen", "inbox", "health")
        if hasattr(section, part)
    }


@CHECKS.register("addresses")
def check_addresses(settings: Settings) -> Iterator[Finding]:
    """Hosts are IP numbers: there is no name service to rely on."""
    platform = settings.platform
    services = {f"$.platform.{n}": getattr(platform, n) for n in ("tables", "objects", "live_list")}
    for place, address in (services | listening(settings)).items():
        if not _is_ip(address.host):
            yield Finding(f"{place}.host", f"{address.host!r} is no IP number")
        if not 0 < address.port < 65_536:
            yield Finding(f"{place}.port", f"{address.port} is no TCP port")


@CHECKS.register("listeners")
def check_listeners(settings: Settings) -> Iterator[Finding]:
    """Two servers cannot share an address."""
    places = collections.defaultdict(list)
    for place, address in listening(settings).items():
        places[address].append(place)
    for address, shared in places.items():
        if len(shared) > 1:
            yield Finding(", ".join(shared), f"{address} is used more than once")


@CHECKS.register("session-keys")
def check_session_keys(settings: Settings) -> Iterator[Finding]:
    """Session tokens are only as safe as their keys."""
    if not settings.session_keys:
        yield Finding("$.session_keys", "at least one key is needed")
    for index, key in enumerate(settings.session_keys):
        if _hex_bytes(key.secret) < KEY_BYTES_MIN:
            problem = f"needs {KEY_BYTES_MIN} bytes or more in hexadecimal"
            yield Finding(f"$.session_keys[{index}].secret", problem)
    ids = collections.Counter(key.id for key in settings.session_keys)
    for key_id in (key_id for key_id, count in ids.items() if count > 1):
        yield Finding("$.session_keys", f"id {key_id!r} is used more than once")


@CHECKS.register("trust")
def check_trust(settings: Settings) -> Iterator[Finding]:
    """A bundle must be able to get enough signatures."""
    trust = settings.trust
    for index, signer in enumerate(trust.signers):
        if _hex_bytes(signer.public_key) != PUBLIC_KEY_BYTES:
            problem = f"needs {PUBLIC_KEY_BYTES} bytes in hexadecimal"
            yield Finding(f"$.trust.signers[{index}].public_key", problem)
    names = {signer.name for signer in trust.signers}
    if not 0 < trust.required_signatures <= len(names):
        problem = f"must lie between 1 and the number of signers, {len(names)}"
        yield Finding("$.trust.required_signatures", problem)


@CHECKS.register("limits")
def check_limits(settings: Settings) -> Iterator[Finding]:
    """Limits of 0 would refuse everything."""
    entry, pool = settings.entry, settings.pool
    limits = {
        "$.platform.timeout_ms": settings.platform.timeout_ms,
        "$.entry.max_body_bytes": entry.max_body_bytes,
        "$.entry.max_callers": entry.max_callers,
        "$.entry.default_deadline_ms": entry.default_deadline_ms,
        "$.pool.max_result_bytes": pool.max_result_bytes,
        "$.pool.max_transactions": pool.max_transactions,
    }
    for place, value in limits.items():
        if value <= 0:
            yield Finding(place, "must be above 0")
    if entry.max_deadline_ms < entry.default_deadline_ms:
        yield Finding("$.entry.max_deadline_ms", "must not be below default_deadline_ms")


@CHECKS.register("names")
def check_names(settings: Settings) -> Iterator[Finding]:
    """Names that the programs look up."""
    if not settings.vm or "/" in settings.vm:
        yield Finding("$.vm", "must be a name without '/'")
    if settings.log_level.upper() not in logging.getLevelNamesMapping():
        yield Finding("$.log_level", f"unknown level {settings.log_level!r}")
    drivers = {
        "$.platform.driver": (settings.platform.driver, PLATFORM_DRIVERS.names),
        "$.pool.target_driver": (settings.pool.target_driver, TARGET_DRIVERS.names),
        "$.controller.target_driver": (settings.controller.target_driver, TARGET_DRIVERS.names),
    }
    for place, (name, known) in drivers.items():
        if name not in known:
            yield Finding(place, f"unknown driver {name!r}, known: {', '.join(known)}")


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _hex_bytes(text: str) -> int:
    try:
        return len(bytes.fromhex(text))
    except ValueError:
        return 0
