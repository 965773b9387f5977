"""Inboxes of simulated VMs; they accept messages and drop them.

Without them, a program would spend time reconnecting to peers that exist in a real deployment.
"""

import sys

import gevent
import pynng

from siskindale.models.address import Address

HOST = "127.0.0.2"


def sink_addresses(ports: list[int]) -> list[Address]:
    """Returns the inbox addresses of the given ports."""
    return [Address(HOST, port) for port in ports]


def main() -> None:
    """Listens on the ports given as arguments until the process is killed."""
    sockets = [
        pynng.Pull0(listen=Address(HOST, int(port)).inbox_url, recv_buffer_size=8)
        for port in sys.argv[1:]
    ]
    while sockets:
        for socket in sockets:
            _drain_socket(socket)
        gevent.sleep(0.05)


def _drain_socket(socket: pynng.Pull0) -> None:
    try:
        while True:
            socket.recv(block=False)
    except pynng.TryAgain:
        return


if __name__ == "__main__":
    main()
