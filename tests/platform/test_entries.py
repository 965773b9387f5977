"""Decoding of entries of the platform's store."""

from typing import Any

import pytest
from returns.result import Failure, Success

from siskindale.models.catalog import Consistency, RegistrationState
from siskindale.platform.entries import decode_catalog, decode_target

TARGET: dict[str, Any] = {
    "service": "g",
    "address": "10.0.0.9:8080",
    "zone": "east",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq": 4,
    "born": 1700000000000,
}


def test_a_registration_is_decoded() -> None:
    """Guards against values that are decoded into the wrong field."""
    entry = decode_target("i-1", TARGET).unwrap()
    assert (entry.group, entry.address.port, entry.state) == ("g", 8080, RegistrationState.READY)
    assert (entry.started_ms, entry.sequence) == (1700000000000, 4)


@pytest.mark.parametrize("field", sorted(TARGET.keys() - {"born"}))
def test_a_registration_without_a_field_is_rejected(field: str) -> None:
    """Guards against an entry of another writer that is used as a target."""
    entry = {name: value for name, value in TARGET.items() if name != field}
    assert isinstance(decode_target("i-1", entry), Failure)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "broken"),
        ("db_role", "witness"),
        ("slots", "2"),
        ("slots", True),
        ("seq", 1.5),
        ("address", "10.0.0.9"),
        ("address", "10.0.0.9:99999"),
        ("service", None),
        ("version", 1),
        ("cold_left_ms", None),
        ("born", "now"),
    ],
)
def test_a_registration_with_a_wrong_field_is_rejected(field: str, value: Any) -> None:
    """Guards against an entry of another writer that is used as a target."""
    assert isinstance(decode_target("i-1", {**TARGET, field: value}), Failure)


def test_a_catalog_is_decoded() -> None:
    """Guards against routes with times in the wrong unit."""
    raw = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "db",
                "kind": "bounded_staleness",
                "timeout_ms": 800,
                "target_latency_ms": 200,
                "priority": 2,
                "service": "g",
                "max_staleness_ms": 1500,
            }
        ],
        "services": [{"name": "g", "max_conns": 16, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 2500},
    }
    decoded = decode_catalog(raw)
    assert isinstance(decoded, Success)
    catalog = decoded.unwrap()
    route = catalog.routes["db"]
    assert (route.consistency, route.timeout_s) == (Consistency.BOUNDED, 0.8)
    assert (route.max_staleness_s, catalog.transaction_idle_s) == (1.5, 2.5)
    assert catalog.groups["g"].max_connections == 16


@pytest.mark.parametrize("raw", [{}, {"version": "x"}, {"version": 1, "routes": [{}]}])
def test_a_malformed_catalog_is_rejected(raw: dict[str, Any]) -> None:
    """Guards against a malformed configuration that stops the proxy."""
    assert isinstance(decode_catalog(raw), Failure)
