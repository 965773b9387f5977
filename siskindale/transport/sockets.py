"""What has arrived on a socket, without reading it."""

import enum
import socket as system_socket

from gevent import socket


class Arrived(enum.Enum):
    """What the next read of a socket would find."""

    NOTHING = "nothing"
    DATA = "data"
    END = "end"


def arrived(sock: socket.socket) -> Arrived:
    """Looks at a socket without waiting; a broken connection counts as ended."""
    try:
        data = sock._sock.recv(1, system_socket.MSG_PEEK)
    except BlockingIOError:
        return Arrived.NOTHING
    except OSError:
        return Arrived.END
    return Arrived.DATA if data else Arrived.END
