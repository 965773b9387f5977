"""Codec of the session protocol."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, ErrorCode, Reply, SessionState, Verb
from siskindale.platform import wire


class SegmentedSocket:
    """A socket that receives the given segments, then the end of the stream."""

    def __init__(self, *segments: bytes) -> None:
        self._segments = list(segments)

    def recv(self, _: int) -> bytes:
        return self._segments.pop(0) if self._segments else b""


def line_reader(*segments: bytes) -> wire.LineReader:
    return wire.LineReader(SegmentedSocket(*segments))  # type: ignore[arg-type]


@given(
    st.lists(st.binary(max_size=20).filter(lambda line: b"\r\n" not in line + b"\r"), max_size=8),
    st.lists(st.integers(1, 7), min_size=1, max_size=40),
)
def test_lines_do_not_depend_on_segments(lines: list[bytes], sizes: list[int]) -> None:
    """Guards against a message that is split or joined by the network."""
    stream = b"".join(line + b"\r\n" for line in lines)
    segments, offset = [], 0
    for size in sizes * (len(stream) + 1):
        if offset >= len(stream):
            break
        segments.append(stream[offset : offset + size])
        offset += size
    reader = line_reader(*segments)
    assert [reader.read_line() for _ in lines] == lines
    assert reader.read_line() is None


def test_a_line_over_the_limit_is_refused() -> None:
    """Guards against a client that makes the proxy buffer without limit."""
    reader = line_reader(*[b"x" * 65536] * 40)
    with pytest.raises(wire.ProtocolError):
        reader.read_line()


@given(st.binary(max_size=60))
def test_any_request_is_decoded_or_refused(line: bytes) -> None:
    """Guards against other exceptions, and against clients that use the proxy's own request id."""
    try:
        statement = wire.decode_request(line)
    except wire.ProtocolError:
        return
    assert statement is None or statement.request_id not in (b"", wire.ABSENT)


@pytest.mark.parametrize(
    ("text", "verb", "name", "argument"),
    [
        (b"BEGIN", Verb.BEGIN, b"", b""),
        (b"BEGIN READ", Verb.BEGIN_READ_ONLY, b"", b""),
        (b"READ 1a4", Verb.READ, b"", b"1a4"),
        (b"WRITE 1a4 a b", Verb.WRITE, b"", b"1a4 a b"),
        (b"SET zone a b", Verb.SET, b"zone", b"a b"),
        (b"PREPARE s1 WRITE q2c", Verb.PREPARE, b"s1", b"q2c"),
        (b"EXEC s1 1a4 data", Verb.EXECUTE, b"s1", b"1a4 data"),
        (b"DEALLOC s1", Verb.DEALLOCATE, b"s1", b""),
        (b"BEGIN WRITE", Verb.INVALID, b"", b""),
        (b"AFTER 1.2 READ 1a4", Verb.INVALID, b"", b""),
        (b"STATUS", Verb.INVALID, b"", b""),
        (b"STEPDOWN 4", Verb.INVALID, b"", b""),
    ],
)
def test_statements_of_clients(text: bytes, verb: Verb, name: bytes, argument: bytes) -> None:
    """Guards against accepting statements reserved to the proxy, and against wrong fields."""
    statement = wire.decode_request(b"QUERY 7f " + text)
    assert statement is not None
    assert (statement.verb, statement.name, statement.argument) == (verb, name, argument)
    assert statement.text == text


def test_a_forwarded_statement_keeps_id_and_text() -> None:
    """Guards against changes to a statement beyond its prepared name and its position."""
    plain = wire.decode_request(b"QUERY 7f READ a b")
    prepared = wire.decode_request(b"QUERY 7f EXEC s1 a b")
    assert plain is not None
    assert prepared is not None
    assert wire.encode_statement(plain) == b"QUERY 7f READ a b\r\n"
    after = wire.encode_statement(plain, minimum=LogPosition(3, 12))
    assert after == b"QUERY 7f AFTER 3.12 READ a b\r\n"
    assert wire.encode_statement(prepared, b"p9") == b"QUERY 7f EXEC p9 a b\r\n"


def test_replies_pass_through_unchanged() -> None:
    """Guards against rows or receipts that the proxy changes."""
    stream = b"ROW a b\r\nROW \r\nDONE 7.1f3.c\r\nREADY T 3.1209\r\n"
    reply = wire.read_reply(line_reader(stream))
    assert reply.rows == [b"a b", b""]
    assert (reply.state, reply.position) == (SessionState.OPEN, LogPosition(3, 1209))
    assert wire.encode_reply(reply) == stream


def test_an_incomplete_reply_is_an_error() -> None:
    """Guards against a partial reply that is taken as complete."""
    with pytest.raises(ConnectionError):
        wire.read_reply(line_reader(b"ROW a\r\nDONE 7\r\n"))


@pytest.mark.parametrize("code", ErrorCode)
def test_each_error_has_a_wire_word(code: ErrorCode) -> None:
    """Guards against an error that cannot be sent to clients."""
    encoded = wire.encode_reply(Reply(error=code, state=SessionState.FAILED))
    assert wire.read_reply(line_reader(encoded)).error is code


def test_the_access_of_a_prepared_statement_is_decoded() -> None:
    """Guards against a write that is treated as a read."""
    statement = wire.decode_request(b"QUERY 7f PREPARE s1 READ q")
    assert statement is not None
    assert statement.access is Access.READ


@pytest.mark.parametrize(
    ("row", "status"),
    [
        (b"replica 3 3.1209 0 12 2 17", wire.TargetStatus(LogPosition(3, 1209), 3)),
        (b"replica 3 3.1209 5 12 2 17", wire.TargetStatus(LogPosition(3, 1209), 5)),
        (b"replica 3 - 0 12 2 17", None),
        (b"replica x 3.1209 0 12 2 17", None),
        (b"replica", None),
    ],
)
def test_the_log_in_a_status(row: bytes, status: wire.TargetStatus | None) -> None:
    """Guards against choosing a new primary by the wrong field, and against an outdated term."""
    assert wire.decode_status(row) == status
