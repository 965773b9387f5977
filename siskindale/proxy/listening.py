"""Listening for clients before the libraries of the program are imported.

After a loss of all VMs, a client that is refused repeats its request at once and has soon used up
its retries; one whose connection waits in the backlog is served as soon as the program runs. So
this module imports only what takes a few milliseconds.
"""

import json
import socket

# All sessions of a deployment may come at once, and a full backlog delays clients by seconds.
ACCEPT_BACKLOG = 1024


def listen(path: str) -> socket.socket | None:
    """Listens at the address for clients in a settings file.

    Returns None for a file without a usable address: the program reads it again and reports what is
    wrong.
    """
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib takes milliseconds
            host, _, port = json.load(file)["clients"].rpartition(":")
        return socket.create_server((host, int(port)), backlog=ACCEPT_BACKLOG)
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
