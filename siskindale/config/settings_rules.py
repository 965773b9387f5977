"""Checks of a VM's settings."""

import ipaddress
import logging
from collections.abc import Iterator

import siskindale.store.http
import siskindale.targets.http  # noqa: F401 - registers the drivers
from siskindale.config.rules import (
    SETTINGS_CHECKS,
    Problem,
    above,
    bad_address,
    bad_hex,
    bad_name,
    below,
    repeated,
)
from siskindale.config.structuring import suggest
from siskindale.models.settings import Address, Settings
from siskindale.store.interface import PLATFORM_DRIVERS
from siskindale.targets.interface import TARGET_DRIVERS

SECRET_BYTES = 32
PUBLIC_KEY_BYTES = 32


def _listeners(settings: Settings) -> list[tuple[str, Address]]:
    entry, pool, controller = settings.entry, settings.pool, settings.controller
    return [
        ("$.entry.listen", entry.listen),
        ("$.entry.inbox", entry.inbox),
        ("$.entry.health", entry.health),
        ("$.pool.inbox", pool.inbox),
        ("$.pool.health", pool.health),
        ("$.controller.inbox", controller.inbox),
        ("$.controller.health", controller.health),
    ]


def _services(settings: Settings) -> list[tuple[str, Address]]:
    platform = settings.platform
    return [
        ("$.platform.tables", platform.tables),
        ("$.platform.objects", platform.objects),
        ("$.platform.live_list", platform.live_list),
    ]


@SETTINGS_CHECKS.register("names")
def check_names(settings: Settings) -> Iterator[Problem]:
    """Names of the VM, its failure domain and region go into rows, logs and metrics."""
    yield from bad_name("$.vm", settings.vm)
    yield from bad_name("$.failure_domain", settings.failure_domain)
    yield from bad_name("$.region", settings.region)


@SETTINGS_CHECKS.register("addresses")
def check_addresses(settings: Settings) -> Iterator[Problem]:
    """Every address can be connected to, and no two listeners share one."""
    for path, address in [*_listeners(settings), *_services(settings)]:
        yield from bad_address(path, address)
    places = [(path, str(address)) for path, address in _listeners(settings)]
    yield from repeated("address", places)
    services = {str(address): path for path, address in _services(settings)}
    for path, text in places:
        if text in services:
            yield Problem(path, f"address {text!r} is already used at {services[text]}")


@SETTINGS_CHECKS.register("reachable inboxes")
def check_reachable(settings: Settings) -> Iterator[Problem]:
    """An inbox on loopback cannot be reached by VMs that share a platform elsewhere."""
    if all(_is_loopback(address) for _, address in _services(settings)):
        return
    for path, address in _listeners(settings):
        if path.endswith(".inbox") and _is_loopback(address):
            remedy = "use the address at which other VMs reach this one"
            yield Problem(f"{path}.host", "is a loopback address, the platform's is not", remedy)


@SETTINGS_CHECKS.register("session keys")
def check_session_keys(settings: Settings) -> Iterator[Problem]:
    """Keys are long enough and have different ids."""
    if not settings.session_keys:
        yield Problem("$.session_keys", "is empty", "add a key with an id and a secret")
    for index, key in enumerate(settings.session_keys):
        yield from bad_name(f"$.session_keys[{index}].id", key.id)
        yield from bad_hex(f"$.session_keys[{index}].secret", key.secret, SECRET_BYTES)
    ids = [(f"$.session_keys[{i}].id", key.id) for i, key in enumerate(settings.session_keys)]
    yield from repeated("key id", ids)


@SETTINGS_CHECKS.register("signers")
def check_signers(settings: Settings) -> Iterator[Problem]:
    """Signers differ in name and key, and there are as many as signatures are required."""
    trust = settings.trust
    for index, signer in enumerate(trust.signers):
        path = f"$.trust.signers[{index}]"
        yield from bad_name(f"{path}.name", signer.name)
        yield from bad_hex(
            f"{path}.public_key", signer.public_key, PUBLIC_KEY_BYTES, PUBLIC_KEY_BYTES
        )
    signers = list(enumerate(trust.signers))
    yield from repeated("signer", [(f"$.trust.signers[{i}].name", s.name) for i, s in signers])
    keys = [(f"$.trust.signers[{i}].public_key", s.public_key.lower()) for i, s in signers]
    yield from repeated("public key", keys)
    path = "$.trust.required_signatures"
    yield from below(path, trust.required_signatures, 1)
    yield from above(path, trust.required_signatures, "the number of signers", len(signers))


@SETTINGS_CHECKS.register("limits")
def check_limits(settings: Settings) -> Iterator[Problem]:
    """Limits and times are positive and in order."""
    entry, pool = settings.entry, settings.pool
    for path, value in (
        ("$.platform.timeout_ms", settings.platform.timeout_ms),
        ("$.entry.max_body_bytes", entry.max_body_bytes),
        ("$.entry.max_callers", entry.max_callers),
        ("$.entry.default_deadline_ms", entry.default_deadline_ms),
        ("$.entry.max_deadline_ms", entry.max_deadline_ms),
        ("$.pool.max_result_bytes", pool.max_result_bytes),
        ("$.pool.max_transactions", pool.max_transactions),
    ):
        yield from below(path, value, 1)
    yield from above(
        "$.entry.default_deadline_ms",
        entry.default_deadline_ms,
        "$.entry.max_deadline_ms",
        entry.max_deadline_ms,
    )


@SETTINGS_CHECKS.register("drivers")
def check_drivers(settings: Settings) -> Iterator[Problem]:
    """Drivers are registered under the names that the settings use."""
    for path, name, known in (
        ("$.platform.driver", settings.platform.driver, PLATFORM_DRIVERS.names),
        ("$.pool.target_driver", settings.pool.target_driver, TARGET_DRIVERS.names),
        ("$.controller.target_driver", settings.controller.target_driver, TARGET_DRIVERS.names),
    ):
        if name not in known:
            yield Problem(path, f"unknown driver {name!r}", suggest(name, known))


@SETTINGS_CHECKS.register("log level")
def check_log_level(settings: Settings) -> Iterator[Problem]:
    """The level is one that logging knows."""
    known = [name.lower() for name in logging.getLevelNamesMapping() if name != "NOTSET"]
    if settings.log_level.lower() not in known:
        remedy = suggest(settings.log_level, known)
        yield Problem("$.log_level", f"unknown level {settings.log_level!r}", remedy)


def _is_loopback(address: Address) -> bool:
    try:
        return ipaddress.ip_address(address.host).is_loopback
    except ValueError:
        return False
