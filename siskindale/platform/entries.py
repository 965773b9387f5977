"""Entries of the platform's store: the operator's configuration and the targets' registrations.

Some names on the wire differ from those of the product: `service` is a group, `zone` a failure
domain, `tenants` are workspaces, `host` in a route the name of a database, and `born` the time at
which a target started.
"""

from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.models.catalog import (
    Catalog,
    Consistency,
    GroupLimits,
    RegistrationState,
    Route,
    TargetRegistration,
    Workspace,
)
from siskindale.models.group import Role

# Entries may come from other writers. Whatever is decoded has to fit into messages between VMs.
MAX_INTEGER = 2**63 - 1
MAX_TEXT_BYTES = 200
# Raised for a value of another type or outside its range.
_DECODE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)

CATALOG_TABLE = "op"
CATALOG_KEY = "config"
TARGETS_TABLE = "servers"

_CONSISTENCY_BY_KIND = {
    "primary": Consistency.LATEST,
    "bounded_staleness": Consistency.BOUNDED,
    "read_own": Consistency.SESSION,
}
_STATES = {"ready": RegistrationState.READY, "draining": RegistrationState.DRAINING}
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}


def decode_catalog(value: Mapping[str, Any]) -> Result[Catalog, str]:
    """Decodes the configuration; fails with a reason."""
    try:
        routes = [_decode_route(raw) for raw in value["routes"]]
        groups = {raw["name"]: _decode_group_limits(raw) for raw in value["services"]}
        limits = value.get("limits") or {}
        problems: list[str] = []
        return Success(
            Catalog(
                version=int(value["version"]),
                routes={route.database: route for route in routes},
                groups=groups,
                transaction_idle_s=limits.get("tx_idle_ms", 3000) / 1000,
                workspaces=_decode_workspaces(value.get("tenants"), problems),
                problems=tuple(problems),
            )
        )
    except _DECODE_ERRORS as error:
        return Failure(_describe(error))


def catalog_version(value: Mapping[str, Any]) -> int:
    """Returns the version of a configuration, 0 if it has none that is valid."""
    version = value.get("version")
    return version if type(version) is int and 0 <= version <= MAX_INTEGER else 0


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {str(error)[:MAX_TEXT_BYTES]}"


def _decode_route(raw: Mapping[str, Any]) -> Route:
    return Route(
        name=raw["name"],
        # `host` is the name of the database that clients ask for.
        database=raw["host"],
        group=raw["service"],
        consistency=_CONSISTENCY_BY_KIND[raw["kind"]],
        timeout_s=raw["timeout_ms"] / 1000,
        # A latency objective; the name has nothing to do with targets.
        objective_s=raw["target_latency_ms"] / 1000,
        priority=raw["priority"],
        max_staleness_s=raw.get("max_staleness_ms", 0) / 1000,
        anonymous=bool(raw.get("anonymous", False)),
    )


def _decode_workspaces(raws: Any, problems: list[str]) -> dict[str, Workspace] | None:
    """Decodes the workspaces; an invalid one is added to `problems` and must not lose the others.

    Returns None where the configuration has no list of them.
    """
    if not isinstance(raws, list):
        return None
    workspaces: dict[str, Workspace] = {}
    for index, raw in enumerate(raws):
        try:
            workspace = _decode_workspace(raw)
        except _DECODE_ERRORS as error:
            problems.append(f"workspace {index}: {_describe(error)}")
        else:
            workspaces[workspace.name] = workspace
    return workspaces


def _decode_workspace(raw: Mapping[str, Any]) -> Workspace:
    rate = raw.get("rate_per_s")
    return Workspace(
        name=str(raw["name"]),
        keys=frozenset(map(str, raw["api_keys"])),
        priority=int(raw.get("priority", 0)),
        rate_per_s=None if rate is None else float(rate),
        burst=float(raw.get("burst", 0)),
    )


def _decode_group_limits(raw: Mapping[str, Any]) -> GroupLimits:
    return GroupLimits(int(raw["max_conns"]), int(raw.get("sync_replicas", 0)))


# Validated although unused: an entry of another writer may be wrong in these fields only.
_UNUSED_TEXT, _UNUSED_INTEGER = "version", "cold_left_ms"


def decode_target(target_id: str, value: Mapping[str, Any]) -> Result[TargetRegistration, str]:
    """Decodes a target's registration; fails with a reason for entries of other writers."""
    try:
        _string_field(value, _UNUSED_TEXT)
        _integer_field(value, _UNUSED_INTEGER)
        return Success(
            TargetRegistration(
                id=_checked_word("id", target_id),
                group=_checked_word("service", _string_field(value, "service")),
                address=_decode_address(_string_field(value, "address")),
                failure_domain=_string_field(value, "zone"),
                slots=_integer_field(value, "slots"),
                state=_STATES[_string_field(value, "state")],
                role=_ROLES[_string_field(value, "db_role")],
                started_ms=_integer_field(value, "born") if "born" in value else 0,
                sequence=_integer_field(value, "seq"),
            )
        )
    except _DECODE_ERRORS as error:
        return Failure(_describe(error))


def encode_target(entry: TargetRegistration) -> dict[str, Any]:
    """Returns the entry of a registration, for other VMs, without the fields that are not used."""
    return {
        "service": entry.group,
        "address": str(entry.address),
        "zone": entry.failure_domain,
        "version": "",
        "slots": entry.slots,
        "state": _STATE_WORDS[entry.state],
        "cold_left_ms": 0,
        "db_role": _ROLE_WORDS[entry.role],
        "seq": entry.sequence,
        "born": entry.started_ms,
    }


_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ROLE_WORDS = {role: word for word, role in _ROLES.items()}


def _string_field(value: Mapping[str, Any], name: str) -> str:
    text: str = _typed_field(value, name, str)
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ValueError(f"{name} is too long")
    return text


def _integer_field(value: Mapping[str, Any], name: str) -> int:
    number: int = _typed_field(value, name, int)
    if not 0 <= number <= MAX_INTEGER:
        raise ValueError(f"{name} is out of range")
    return number


def _typed_field(value: Mapping[str, Any], name: str, kind: type) -> Any:
    field = value[name]
    if type(field) is not kind:
        raise ValueError(f"{name} is not of type {kind.__name__}")
    return field


def _checked_word(name: str, text: str) -> str:
    """Returns a text that can be a word of the session protocol; raises `ValueError` otherwise."""
    if not text or not text.isascii() or not text.isprintable() or " " in text:
        raise ValueError(f"{name} is not a word")
    return text


def _decode_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not int(port):
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
