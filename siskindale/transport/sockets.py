"""Checks sockets for unread input without reading it."""

import enum
import socket as system_socket

from gevent import socket


class Arrived(enum.Enum):
    """Result of the next read of a socket."""

    NOTHING = "nothing"
    DATA = "data"
    END = "end"


def arrived(sock: socket.socket) -> Arrived:
    """Peeks at a socket without blocking; a broken connection counts as end of stream."""
    try:
        data = sock._sock.recv(1, system_socket.MSG_PEEK)
    except BlockingIOError:
        return Arrived.NOTHING
    except OSError:
        return Arrived.END
    return Arrived.DATA if data else Arrived.END
