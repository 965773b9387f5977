"""Checks sockets for unread input without reading it."""

import enum
import socket as system_socket

from gevent import socket


class PeekResult(enum.Enum):
    """Result of the next read of a socket."""

    NOTHING = "nothing"
    DATA = "data"
    END = "end"


def peek_socket(sock: socket.socket) -> PeekResult:
    """Peeks at a socket without blocking; a broken connection counts as end of stream."""
    try:
        data = sock._sock.recv(1, system_socket.MSG_PEEK)
    except BlockingIOError:
        return PeekResult.NOTHING
    except OSError:
        return PeekResult.END
    return PeekResult.DATA if data else PeekResult.END
