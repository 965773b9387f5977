"""Typed messages on a stream between two programs.

Unlike the message sockets of `mailbox`, a stream tells both ends when the other one is lost. That
decides what becomes of a forwarded write and of an open transaction.
"""

import contextlib
import socket as system_socket

import gevent
from gevent import socket
from gevent.lock import RLock
from returns.result import Failure

from siskindale.models.messages import Body
from siskindale.transport import codec

MAX_FRAME_BYTES = 8 << 20
READ_CHUNK_BYTES = 1 << 16
LENGTH_BYTES = 4
KEEPALIVE_IDLE_S = 10
KEEPALIVE_PROBE_S = 3
KEEPALIVE_PROBES = 3
# The other end takes messages as they come. One that does not for so long is lost or overrun, and
# each greenlet that waits for it holds a statement.
SEND_TIMEOUT_S = 1.0


class FrameError(Exception):
    """The other end violated the framing."""


class FrameTooLargeError(Exception):
    """A message is longer than a frame may be; nothing of it was sent."""


class FrameStream:
    """Sends and receives messages; several greenlets may send."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        # The other end may vanish while nothing is being sent.
        sock.setsockopt(system_socket.SOL_SOCKET, system_socket.SO_KEEPALIVE, 1)
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
        sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        self._socket = sock
        self._buffer = bytearray()
        self._send_lock = RLock()

    def send(self, body: Body, number: int) -> None:
        """Sends one message.

        Raises `FrameTooLargeError`, or `OSError` if the stream is broken or the other end does not
        read. A part of the message may have been sent then, so the stream is closed.
        """
        data = codec.encode_frame(body, number)
        if len(data) > LENGTH_BYTES + MAX_FRAME_BYTES:
            raise FrameTooLargeError(f"message of {len(data)} bytes")
        try:
            with (
                gevent.Timeout(SEND_TIMEOUT_S, OSError("the other end does not read")),
                self._send_lock,
            ):
                self._socket.sendall(data)
        except BaseException:
            self.close()
            raise

    def receive(self) -> tuple[int, Body] | None:
        """Returns the number and body of the next message, None at the end of the stream.

        Raises `OSError` or `FrameError`.
        """
        header = self._read(LENGTH_BYTES)
        if header is None:
            return None
        length = int.from_bytes(header, "big")
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {length} bytes is too long")
        data = self._read(length)
        if data is None:
            return None
        decoded = codec.decode_frame(data)
        if isinstance(decoded, Failure):
            raise FrameError(decoded.failure())
        return decoded.unwrap()

    def close(self) -> None:
        """Closes the stream; a greenlet that receives from it sees its end."""
        # The other end may have closed it first.
        with contextlib.suppress(OSError):
            self._socket.shutdown(system_socket.SHUT_RDWR)
        self._socket.close()

    def _read(self, count: int) -> bytes | None:
        while len(self._buffer) < count:
            chunk = self._socket.recv(READ_CHUNK_BYTES)
            if not chunk:
                return None
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data
