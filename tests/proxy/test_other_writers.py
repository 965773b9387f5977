"""Entries that other writers leave in the store's tables."""

import itertools
import json
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from bench.proxy_deployment import Deployment, eventually
from siskindale.models.catalog import GroupLimits
from siskindale.models.gossip import MAX_DRAIN_AGE_S, TargetsNotice
from siskindale.models.members import MemberFact, MemberFacts
from siskindale.models.messages import Body, Envelope
from siskindale.platform.entries import decode_catalog, decode_target, encode_target
from siskindale.proxy import directory
from siskindale.proxy.decisions import draining_targets
from siskindale.proxy.duty import Duties
from siskindale.proxy.tables import Group, Target
from siskindale.transport import codec
from tests.proxy.settings import build_settings

VALID_TARGET: dict[str, Any] = {
    "service": "g1",
    "address": "127.0.0.1:9",
    "zone": "east",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq": 4,
    "born": 1700000000000,
}
VALID_MEMBER: dict[str, Any] = {
    "vm": "vm1",
    "failure_domain": "east",
    "peers": {"host": "127.0.0.1", "port": 7000},
    "forwarding": {"host": "127.0.0.1", "port": 7001},
    "capacity": 1.5,
    "boot": "b",
    "incarnation": 1,
}


def nested(depth: int) -> Any:
    """Returns an object in an object, `depth` times."""
    value: Any = 1
    for _ in range(depth):
        value = {"a": value}
    return value


ODD_VALUES = st.one_of(
    st.sampled_from(
        [
            *(None, True, -1, 0, 65536, 2**63, 2**64, 10**400, 1e308, float("inf"), float("nan")),
            *("", "v\udc80", "a b", "é", "x" * 100_000, "127.0.0.1:70000", "a..b:80", "\x00:80"),
            *([], {}, [[1]], nested(300)),
        ]
    ),
    st.integers(),
    st.text(max_size=10),
)


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "v\udc80"},
        {"seq": 2**70},
        {"cold_left_ms": 10**400},
        {"address": "127.0.0.1:70000"},
        {"address": "a..b:80"},
        {"other": nested(900)},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_an_odd_entry_does_not_stop_the_following_of_the_others(
    deployment: Deployment, fields: dict[str, Any]
) -> None:
    """Guards against one entry that ends the following of all registrations in every VM."""
    proxies = [deployment.start_proxy("vm1")]
    proxies.append(deployment.start_proxy("vm2", seeds=[deployment.peers_address("vm1")]))
    eventually(lambda: "peer-found" in proxies[0].log, "they know each other")
    deployment.platform.put("servers", "t9", {**VALID_TARGET, **fields})
    deployment.configure(2, added={"kind": "primary"})
    eventually(lambda: "target-added" in proxies[0].log, "targets are known")
    leaving = deployment.group.targets["t2"]
    deployment.register(leaving, state="draining")
    for proxy in proxies:
        eventually(
            lambda log=proxy.process.log: "state=draining" in log.read_text(), "it is noticed"
        )
        assert "Traceback" not in proxy.log
        assert proxy.client().query("READ item").error is None
    deployment.platform.faults.down = True
    seeds = [deployment.peers_address("vm1")]
    third = deployment.start_proxy("vm3", seeds=seeds)
    assert third.client().query("READ item").error is None


@pytest.mark.usefixtures("unicode_tables")
@given(name=st.sampled_from([*VALID_TARGET, "id", "other"]), value=ODD_VALUES)
def test_a_registration_is_rejected_or_reaches_a_peer_unchanged(name: str, value: Any) -> None:
    """Guards against values that are accepted and then cannot be sent to another VM."""
    target_id = value if name == "id" and isinstance(value, str) else "t9"
    decoded = decode_target(target_id, {**VALID_TARGET, name: value})
    if not isinstance(decoded, Success):
        return
    notice = TargetsNotice({target_id: encode_target(decoded.unwrap())})
    received = codec.decode_frame(codec.encode_frame(notice, 1)[4:]).unwrap()[1]
    assert decode_target(target_id, received.changes[target_id]) == decoded


@pytest.mark.usefixtures("unicode_tables")
@given(name=st.sampled_from([*VALID_MEMBER, "other"]), value=ODD_VALUES)
def test_a_member_row_is_rejected_or_reaches_a_peer_unchanged(name: str, value: Any) -> None:
    """Guards against a row of the directory that stops the gossip of each VM that reads it."""
    fact = directory.decode_row("vm1", {**VALID_MEMBER, name: value})
    if fact is None:
        return
    frame = codec.encode_frame(MemberFacts((fact,)), 1)[4:]
    assert codec.decode_frame(frame).unwrap()[1] == MemberFacts((fact,))


@pytest.mark.parametrize("port", [-1, 65536, 2**70])
def test_a_member_with_an_impossible_port_is_rejected(port: int) -> None:
    """Guards against a datagram whose address ends the sending greenlet."""
    row = {**VALID_MEMBER, "peers": {"host": "127.0.0.1", "port": port}}
    assert directory.decode_row("vm1", row) is None
    assert directory.decode_row("vm2", VALID_MEMBER) is None
    assert msgspec.convert(VALID_MEMBER, MemberFact) == directory.decode_row("vm1", VALID_MEMBER)


@pytest.mark.usefixtures("unicode_tables")
@given(
    name=st.sampled_from(["version", "routes", "services", "limits", "tenants"]), value=ODD_VALUES
)
def test_a_catalog_is_decoded_or_rejected(name: str, value: Any) -> None:
    """Guards against a configuration that ends the following of configurations."""
    tenant = {"name": "w", "api_keys": ["k"], "rate_per_s": value, "burst": value}
    raw = {"version": 1, "routes": [], "services": [], "limits": {"tx_idle_ms": value}}
    for candidate in (raw, {**raw, "limits": {}, name: value}, {**raw, "tenants": [tenant]}):
        decode_catalog(candidate)
        assert json.dumps(candidate)


GOSSIP: dict[str, Any] = {
    "vm": "vm2",
    "catalog_version": 1,
    "targets_version": 1,
    "duties": [{"key": "failover", "fencing_token": 7}],
    "draining_targets": [{"group": "g", "target": "a", "started_ms": 1, "age_s": 2.0}],
}


def receive(kind: str, body: dict[str, Any]) -> Body | None:
    """Returns a message as a VM receives it, None if it is refused or cannot be written."""
    try:
        raw = msgspec.Raw(msgspec.msgpack.encode(body))
    except (OverflowError, ValueError, RecursionError):
        return None
    envelope = Envelope(kind, "vm2", "boot", "", 0, 0.0, raw)
    received = codec.decode_message(codec.encode_envelope(envelope))
    return received.unwrap()[1] if isinstance(received, Success) else None


@pytest.mark.usefixtures("unicode_tables")
@given(
    field=st.sampled_from(
        [*itertools.product(["duties"], ["key", "fencing_token", ""])]
        + [*itertools.product(["draining_targets"], ["group", "target", "started_ms", "age_s", ""])]
    ),
    value=ODD_VALUES,
)
def test_odd_duties_and_drain_periods_of_a_peer_are_refused_or_change_nothing_else(
    field: tuple[str, str], value: Any
) -> None:
    """Guards against one message of a peer that ends the exchange, or the use of a primary."""
    name, part = field
    gossip = receive(
        "gossip", {**GOSSIP, name: [{**GOSSIP[name][0], part: value}] if part else value}
    )
    if gossip is None:
        return
    entry = decode_target("a", {**VALID_TARGET, "state": "draining", "born": 1}).unwrap()
    group = Group("g", GroupLimits(16), {"a": Target(entry, draining_since=100.0)})
    group.targets["a"].drain_observed = False
    draining_targets.adopt({"g": group}, gossip.draining_targets, 101.0)
    since = group.targets["a"].draining_since
    assert since is not None
    assert 101.0 - MAX_DRAIN_AGE_S <= since <= 100.0
    duties = Duties(build_settings(), Mock(), Mock(owns_everything=lambda _: True))
    assert duties.of(group).token is None
    for held in gossip.duties:
        duties.adopt_holder(gossip.vm, held)
    assert duties.of(group).token is None


@pytest.mark.usefixtures("unicode_tables")
@given(name=st.sampled_from(["group", "fencing_token"]), value=ODD_VALUES)
def test_an_odd_notice_of_a_preparation_is_refused_or_names_a_group(name: str, value: Any) -> None:
    """Guards against a notice that ends the handling of messages."""
    notice = receive("preparation-notice", {"group": "g", "fencing_token": 7, name: value})
    assert notice is None or isinstance(notice.group, str) and isinstance(notice.fencing_token, int)


@pytest.mark.parametrize(
    "value",
    [{}, {"holder": 7}, {"holder": "v\udc80"}, {"holder": nested(900)}, {"holder": [None] * 3}],
    ids=["empty", "number", "surrogate", "nested", "list"],
)
def test_an_odd_row_of_the_duty_is_taken_over(
    deployment: Deployment, value: dict[str, Any]
) -> None:
    """Guards against a row of another writer that leaves a fleet without promotions."""
    deployment.platform.put("duties", "failover", value)
    proxy = deployment.start_proxy("vm1")
    client = proxy.client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: "duty-taken" in proxy.log, "the proxy has taken the duty")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "a successor leads")
    assert "Traceback" not in proxy.log
