"""Entries of the platform's store: the operator's configuration and the targets' registrations."""

from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.models.catalog import (
    Catalog,
    Consistency,
    GroupLimits,
    Route,
    TargetEntry,
    TargetState,
)
from siskindale.models.group import Role

CATALOG_TABLE = "op"
CATALOG_KEY = "config"
TARGETS_TABLE = "servers"

_CONSISTENCY = {
    "primary": Consistency.LATEST,
    "bounded_staleness": Consistency.BOUNDED,
    "read_own": Consistency.SESSION,
}
_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}


def decode_catalog(value: Mapping[str, Any]) -> Result[Catalog, str]:
    """Returns the catalog of a configuration; fails with a reason."""
    try:
        routes = [_route(raw) for raw in value["routes"]]
        groups = {raw["name"]: _limits(raw) for raw in value["services"]}
        limits = value.get("limits") or {}
        return Success(
            Catalog(
                version=int(value["version"]),
                routes={route.database: route for route in routes},
                groups=groups,
                transaction_idle_s=limits.get("tx_idle_ms", 3000) / 1000,
            )
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _route(raw: Mapping[str, Any]) -> Route:
    return Route(
        name=raw["name"],
        # The field `host` is the name of the database that clients ask for.
        database=raw["host"],
        group=raw["service"],
        consistency=_CONSISTENCY[raw["kind"]],
        timeout_s=raw["timeout_ms"] / 1000,
        objective_s=raw["target_latency_ms"] / 1000,
        priority=raw["priority"],
        max_staleness_s=raw.get("max_staleness_ms", 0) / 1000,
    )


def _limits(raw: Mapping[str, Any]) -> GroupLimits:
    return GroupLimits(int(raw["max_conns"]), int(raw.get("sync_replicas", 0)))


# Checked with the others, because an entry of another writer may have just these wrong.
_UNUSED_FIELDS: tuple[tuple[str, type], ...] = (("version", str), ("cold_left_ms", int))


def decode_target(target_id: str, value: Mapping[str, Any]) -> Result[TargetEntry, str]:
    """Returns a target's registration; fails with a reason for entries of other writers."""
    try:
        for name, kind in _UNUSED_FIELDS:
            _typed(value, name, kind)
        return Success(
            TargetEntry(
                id=target_id,
                group=_text(value, "service"),
                address=_address(_text(value, "address")),
                failure_domain=_text(value, "zone"),
                slots=_integer(value, "slots"),
                state=_STATES[_text(value, "state")],
                role=_ROLES[_text(value, "db_role")],
                started_ms=_integer(value, "born") if "born" in value else 0,
                sequence=_integer(value, "seq"),
            )
        )
    except (KeyError, ValueError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _text(value: Mapping[str, Any], name: str) -> str:
    return _typed(value, name, str)


def _integer(value: Mapping[str, Any], name: str) -> int:
    return _typed(value, name, int)


def _typed(value: Mapping[str, Any], name: str, kind: type) -> Any:
    field = value[name]
    if type(field) is not kind:
        raise ValueError(f"{name} is not of type {kind.__name__}")
    return field


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return Address(host, int(port))
