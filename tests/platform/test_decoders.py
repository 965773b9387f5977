"""Bytes from clients, targets and the store: each is decoded, or refused by a typed error."""

import json
import time
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.models.gossip import (
    DrainingTarget,
    Gossip,
    OwnerLoad,
    SampleAnswer,
    WorkspaceDemand,
)
from siskindale.models.group import LogPosition
from siskindale.models.members import MemberFact, MemberFacts
from siskindale.models.messages import Envelope
from siskindale.platform import wire
from siskindale.platform.store import PlatformStore
from siskindale.proxy.directory import decode_row
from siskindale.store.interface import WatchedTables
from siskindale.store.versions import ERA_HEADER
from siskindale.transport import codec
from siskindale.transport.http import HttpResponse

# A line or row of the largest size is decoded within this time.
LIMIT_S = 0.01
WORDS = st.sampled_from(
    [
        *(b"START", b"QUERY", b"CLOSE", b"READY", b"ROW", b"DONE", b"ERR", b"I", b"T", b"E", b"-"),
        *(b"READ", b"WRITE", b"BEGIN", b"COMMIT", b"SET", b"PREPARE", b"EXEC", b"DEALLOC", b""),
        *(
            b"1.2",
            b"9" * 30 + b".1",
            b"1." + b"9" * 5000,
            b"-1.-1",
            b"BUSY",
            b"\xff\x00",
            b"x" * 99,
        ),
    ]
)
LINES = st.one_of(st.binary(max_size=60), st.lists(WORDS, max_size=6).map(b" ".join))


class Bytes:
    """Socket from which given bytes are read."""

    def __init__(self, data: bytes) -> None:
        self._parts = iter((data, b""))

    def recv(self, _: int) -> bytes:
        """Returns the bytes, then the end of the stream."""
        return next(self._parts, b"")


@given(LINES)
def test_lines_of_clients(line: bytes) -> None:
    """Guards against a client that ends more than its own session."""
    for decode in (wire.decode_start, wire.decode_request):
        try:
            decode(line)
        except wire.ProtocolError:
            continue


@given(st.lists(LINES, max_size=5))
def test_replies_of_targets(lines: list[bytes]) -> None:
    """Guards against a reply that ends a statement without a decision about its outcome."""
    data = b"".join(line.replace(b"\r\n", b"") + b"\r\n" for line in lines)
    for read in (wire.read_reply, wire.read_start_reply):
        try:
            reply = read(wire.LineReader(Bytes(data)))  # type: ignore[arg-type]
        except (wire.ProtocolError, ConnectionError):
            continue
        assert wire.encode_reply(reply)
    for line in lines:
        wire.decode_status(line)


@given(st.one_of(WORDS, st.binary(max_size=30)))
def test_a_position_is_rejected_or_reaches_a_peer_unchanged(text: bytes) -> None:
    """Guards against a log position that cannot be told to other VMs."""
    position = wire.decode_position(text)
    if position is not None:
        answer = SampleAnswer("g", position, 0.1)
        assert codec.decode_frame(codec.encode_frame(answer, 1)[4:]) == Success((1, answer))


@pytest.mark.parametrize("text", [b"9" * 19 + b".1", b"1." + b"9" * 5000, b"1.", b".1", b"1.-2"])
def test_a_position_out_of_range_is_none(text: bytes) -> None:
    """Guards against numbers over 64 bits, and over what the interpreter converts."""
    assert wire.decode_position(text) is None
    assert wire.decode_position(b"9" * 18 + b".1") == LogPosition(int("9" * 18), 1)


@pytest.mark.parametrize(
    "line", [b"QUERY 1 " + b"x" * (1 << 20), b"START a " + b" " * (1 << 20), b" " * (1 << 20)]
)
def test_the_longest_line_is_decoded_in_time(line: bytes) -> None:
    """Guards against a line that keeps the program from serving others."""
    durations = []
    for _ in range(5):
        started_at = time.process_time()
        for decode in (wire.decode_start, wire.decode_request):
            try:
                decode(line)
            except wire.ProtocolError:
                continue
        durations.append(time.process_time() - started_at)
    assert min(durations) < LIMIT_S


class FixedClient:
    """HTTP client whose every response is the same."""

    def __init__(self, body: bytes, era: str) -> None:
        self._response = HttpResponse(200, body, {ERA_HEADER: era})

    def request(self, *_: Any) -> Result[HttpResponse, Any]:
        """Returns the response."""
        return Success(self._response)


def store_answering(body: bytes, era: str = "1") -> WatchedTables:
    """Returns a store that answers each call with a body."""
    store = PlatformStore(Mock())
    store._client = FixedClient(body, era)  # type: ignore[assignment]
    return store


def odd_bodies() -> list[bytes]:
    """Returns bodies that are no answer of a store."""
    rows: list[Any] = [5, "x", [5], [[]], [None], [{"ver": "x"}], [{"ver": [1]}], [{"value": 5}]]
    encoded = [json.dumps({"rows": value, "ver": 1}).encode() for value in rows]
    return [b"", b"[]", b"5", b"\xff", b"[" * 100_000, b'{"ver": 1e999}', b'{"ver": "1"}', *encoded]


@pytest.mark.parametrize("body", odd_bodies())
def test_odd_answers_of_the_store_are_failures_or_empty(body: bytes) -> None:
    """Guards against an answer that ends a follower of the store's tables."""
    store = store_answering(body)
    for found in (store.snapshot("t"), store.read("t", "k"), store.watch("t", 1 << 40, 0)):
        assert isinstance(found, Failure) or found.unwrap() is None or found.unwrap()


@pytest.mark.parametrize("era", ["", "x", "-1", "9" * 7, "9" * 5000, "\u0661"])
def test_an_odd_era_keeps_versions_within_64_bits(era: str) -> None:
    """Guards against a version that cannot be told to other VMs."""
    found = store_answering(b'{"rows": [], "ver": 5}', era).snapshot("t")
    assert found.unwrap().version < 1 << 63


@pytest.mark.parametrize("capacity", [float("nan"), float("inf"), -float("inf"), 0.0, -1.0, 1e300])
def test_a_member_whose_capacity_is_no_number_of_processors_is_refused(capacity: float) -> None:
    """Guards against a message of a peer by which the choice of owners fails or goes astray."""
    address = Address("127.0.0.1", 9)
    fact = MemberFact("vm1", "east", address, address, capacity, "boot", 1)
    body = codec.encode_body(MemberFacts((fact,)))
    envelope = Envelope("member-facts", "vm1", "boot", "", 0, 0.0, body)
    assert isinstance(codec.decode_message(codec.encode_envelope(envelope)), Failure)
    assert decode_row("vm1", msgspec.to_builtins(fact)) is None


@pytest.mark.parametrize("quantity", [float("nan"), float("inf"), -1.0, 1e300])
@pytest.mark.parametrize(
    "build",
    [
        lambda quantity: SampleAnswer("g", LogPosition(1, 2), quantity),
        lambda quantity: Gossip("vm1", 1, 1, loads=(OwnerLoad("g", "a", quantity),)),
        lambda quantity: Gossip("vm1", 1, 1, demands=(WorkspaceDemand("g", "w", quantity),)),
        lambda quantity: Gossip(
            "vm1", 1, 1, draining_targets=(DrainingTarget("g", "a", 1, quantity),)
        ),
    ],
    ids=["sample", "load", "demand", "drain"],
)
def test_a_message_with_an_impossible_quantity_is_refused(
    build: Callable[[float], Any], quantity: float
) -> None:
    """Guards against a sample from the future, and against sums that are no numbers."""
    message = build(quantity)
    body = codec.encode_body(message)
    envelope = Envelope(message.kind, "vm1", "boot", "", 0, 0.0, body)
    assert isinstance(codec.decode_message(codec.encode_envelope(envelope)), Failure)
