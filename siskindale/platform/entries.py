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
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(f"{type(error).__name__}: {error}")


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
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            problems.append(f"workspace {index}: {type(error).__name__}: {error}")
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
_UNUSED_TARGET_FIELDS: tuple[tuple[str, type], ...] = (("version", str), ("cold_left_ms", int))


def decode_target(target_id: str, value: Mapping[str, Any]) -> Result[TargetRegistration, str]:
    """Decodes a target's registration; fails with a reason for entries of other writers."""
    try:
        for name, kind in _UNUSED_TARGET_FIELDS:
            _typed_field(value, name, kind)
        return Success(
            TargetRegistration(
                id=target_id,
                group=_string_field(value, "service"),
                address=_decode_address(_string_field(value, "address")),
                failure_domain=_string_field(value, "zone"),
                slots=_integer_field(value, "slots"),
                state=_STATES[_string_field(value, "state")],
                role=_ROLES[_string_field(value, "db_role")],
                started_ms=_integer_field(value, "born") if "born" in value else 0,
                sequence=_integer_field(value, "seq"),
            )
        )
    except (KeyError, ValueError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _string_field(value: Mapping[str, Any], name: str) -> str:
    return _typed_field(value, name, str)


def _integer_field(value: Mapping[str, Any], name: str) -> int:
    return _typed_field(value, name, int)


def _typed_field(value: Mapping[str, Any], name: str, kind: type) -> Any:
    field = value[name]
    if type(field) is not kind:
        raise ValueError(f"{name} is not of type {kind.__name__}")
    return field


def _decode_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
