"""Typed messages on a stream between two programs.

Unlike the message sockets of `mailbox`, a stream tells both ends when the other one is lost. That
decides what becomes of a forwarded write and of an open transaction.
"""

import contextlib
import socket as system_socket

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


class FrameError(Exception):
    """The other end violated the framing."""


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
        """Sends one message; raises `OSError` if the stream is broken."""
        data = codec.encode_frame(body, number)
        with self._send_lock:
            self._socket.sendall(data)

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
