"""Inboxes of VMs that an experiment only names: they accept messages and drop them.

Without them a program would spend its time on reconnecting to peers that the real system has.
"""

import sys

import gevent
import pynng

from siskindale.models.address import Address

HOST = "127.0.0.2"


def addresses(ports: list[int]) -> list[Address]:
    """Returns the inbox addresses for the ports."""
    return [Address(HOST, port) for port in ports]


def main() -> None:
    """Listens on the ports of the command line until it is ended."""
    sockets = [
        pynng.Pull0(listen=Address(HOST, int(port)).inbox_url, recv_buffer_size=8)
        for port in sys.argv[1:]
    ]
    while sockets:
        for socket in sockets:
            _drop(socket)
        gevent.sleep(0.05)


def _drop(socket: pynng.Pull0) -> None:
    try:
        while True:
            socket.recv(block=False)
    except pynng.TryAgain:
        return


if __name__ == "__main__":
    main()
