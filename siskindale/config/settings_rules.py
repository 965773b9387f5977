"""Cross-field checks of a VM's settings."""

import ipaddress
import logging
from collections.abc import Iterator

import siskindale.store.http
import siskindale.targets.http  # noqa: F401 - registers the drivers
from siskindale.config.rules import (
    SETTINGS_CHECKS,
    Problem,
    require_at_least,
    require_at_most,
    require_hex,
    require_unique,
    require_valid_address,
    require_valid_name,
)
from siskindale.config.structuring import suggest_remedy
from siskindale.models.settings import Address, Settings
from siskindale.store.interface import PLATFORM_DRIVERS
from siskindale.targets.interface import TARGET_DRIVERS

MIN_SECRET_BYTES = 32
PUBLIC_KEY_BYTES = 32


def _listen_addresses(settings: Settings) -> list[tuple[str, Address]]:
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


def _platform_addresses(settings: Settings) -> list[tuple[str, Address]]:
    platform = settings.platform
    return [
        ("$.platform.tables", platform.tables),
        ("$.platform.objects", platform.objects),
        ("$.platform.live_list", platform.live_list),
    ]


@SETTINGS_CHECKS.register("names")
def check_names(settings: Settings) -> Iterator[Problem]:
    """Names of the VM, failure domain and region are valid, as rows, logs and metrics use them."""
    yield from require_valid_name("$.vm", settings.vm)
    yield from require_valid_name("$.failure_domain", settings.failure_domain)
    yield from require_valid_name("$.region", settings.region)


@SETTINGS_CHECKS.register("addresses")
def check_addresses(settings: Settings) -> Iterator[Problem]:
    """Every address can be connected to, and no two listen addresses are the same."""
    for path, address in [*_listen_addresses(settings), *_platform_addresses(settings)]:
        yield from require_valid_address(path, address)
    entries = [(path, str(address)) for path, address in _listen_addresses(settings)]
    yield from require_unique("address", entries)
    services = {str(address): path for path, address in _platform_addresses(settings)}
    for path, text in entries:
        if text in services:
            yield Problem(path, f"address {text!r} is already used at {services[text]}")


@SETTINGS_CHECKS.register("reachable inboxes")
def check_reachable(settings: Settings) -> Iterator[Problem]:
    """Inboxes are not on loopback if the platform is not: other VMs could not reach them."""
    if all(_is_loopback(address) for _, address in _platform_addresses(settings)):
        return
    for path, address in _listen_addresses(settings):
        if path.endswith(".inbox") and _is_loopback(address):
            remedy = "use the address at which other VMs reach this one"
            yield Problem(f"{path}.host", "is a loopback address, the platform's is not", remedy)


@SETTINGS_CHECKS.register("session keys")
def check_session_keys(settings: Settings) -> Iterator[Problem]:
    """There is a session key, and all keys are long enough and have unique ids."""
    if not settings.session_keys:
        yield Problem("$.session_keys", "is empty", "add a key with an id and a secret")
    for index, key in enumerate(settings.session_keys):
        yield from require_valid_name(f"$.session_keys[{index}].id", key.id)
        yield from require_hex(f"$.session_keys[{index}].secret", key.secret, MIN_SECRET_BYTES)
    ids = [(f"$.session_keys[{i}].id", key.id) for i, key in enumerate(settings.session_keys)]
    yield from require_unique("key id", ids)


@SETTINGS_CHECKS.register("signers")
def check_signers(settings: Settings) -> Iterator[Problem]:
    """Signers have unique names and keys, and there are enough for the required signatures."""
    trust = settings.trust
    for index, signer in enumerate(trust.signers):
        path = f"$.trust.signers[{index}]"
        yield from require_valid_name(f"{path}.name", signer.name)
        yield from require_hex(
            f"{path}.public_key", signer.public_key, PUBLIC_KEY_BYTES, PUBLIC_KEY_BYTES
        )
    signers = list(enumerate(trust.signers))
    yield from require_unique(
        "signer", [(f"$.trust.signers[{i}].name", s.name) for i, s in signers]
    )
    keys = [(f"$.trust.signers[{i}].public_key", s.public_key.lower()) for i, s in signers]
    yield from require_unique("public key", keys)
    path = "$.trust.required_signatures"
    yield from require_at_least(path, trust.required_signatures, 1)
    yield from require_at_most(
        path, trust.required_signatures, "the number of signers", len(signers)
    )


@SETTINGS_CHECKS.register("limits")
def check_limits(settings: Settings) -> Iterator[Problem]:
    """Limits and times are positive, and the default deadline is at most the maximum."""
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
        yield from require_at_least(path, value, 1)
    yield from require_at_most(
        "$.entry.default_deadline_ms",
        entry.default_deadline_ms,
        "$.entry.max_deadline_ms",
        entry.max_deadline_ms,
    )


@SETTINGS_CHECKS.register("drivers")
def check_drivers(settings: Settings) -> Iterator[Problem]:
    """The drivers that the settings name are registered."""
    for path, name, known in (
        ("$.platform.driver", settings.platform.driver, PLATFORM_DRIVERS.names),
        ("$.pool.target_driver", settings.pool.target_driver, TARGET_DRIVERS.names),
        ("$.controller.target_driver", settings.controller.target_driver, TARGET_DRIVERS.names),
    ):
        if name not in known:
            yield Problem(path, f"unknown driver {name!r}", suggest_remedy(name, known))


@SETTINGS_CHECKS.register("log level")
def check_log_level(settings: Settings) -> Iterator[Problem]:
    """The log level is a level of the logging module."""
    known = [name.lower() for name in logging.getLevelNamesMapping() if name != "NOTSET"]
    if settings.log_level.lower() not in known:
        remedy = suggest_remedy(settings.log_level, known)
        yield Problem("$.log_level", f"unknown level {settings.log_level!r}", remedy)


def _is_loopback(address: Address) -> bool:
    try:
        return ipaddress.ip_address(address.host).is_loopback
    except ValueError:
        return False
