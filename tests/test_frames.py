"""Streams of messages between two programs."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from siskindale.models.forwarding import ForwardedReply, LinkProbe
from siskindale.models.statements import Reply
from siskindale.transport import frames
from siskindale.transport.frames import FrameStream, FrameTooLargeError

SEND_TIMEOUT_S = 0.2


@pytest.fixture
def streams(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[FrameStream, FrameStream]]:
    """Both ends of a stream, with a short limit for sending."""
    monkeypatch.setattr(frames, "SEND_TIMEOUT_S", SEND_TIMEOUT_S)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    ends = FrameStream(client), FrameStream(accepted)
    yield ends
    for end in ends:
        end.close()


def reply_of(size: int) -> ForwardedReply:
    """Returns a reply with a row of `size` bytes."""
    return ForwardedReply(Reply(rows=[b"x" * size], receipt=b"r"), "vm1")


def test_a_stream_whose_other_end_does_not_read_is_closed(
    streams: tuple[FrameStream, FrameStream],
) -> None:
    """Guards against greenlets that wait for ever to send, and against a part of a message."""
    sender, receiver = streams
    with gevent.Timeout(20 * SEND_TIMEOUT_S), pytest.raises(OSError, match="does not read"):
        while True:
            sender.send(reply_of(1 << 20), 1)
    with pytest.raises(OSError):
        sender.send(LinkProbe(), 2)
    received = 0
    while receiver.receive() is not None:
        received += 1
    assert received


def test_a_message_that_is_too_large_is_not_sent(
    streams: tuple[FrameStream, FrameStream],
) -> None:
    """Guards against one reply that breaks a link and fails all statements on it."""
    sender, receiver = streams
    with pytest.raises(FrameTooLargeError):
        sender.send(reply_of(frames.MAX_FRAME_BYTES), 1)
    sender.send(LinkProbe(), 2)
    assert receiver.receive() == (2, LinkProbe())
