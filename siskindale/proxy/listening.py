"""Opens the socket for clients before the libraries of the program are imported.

After all VMs are lost, a client whose connection is refused retries at once and soon has no retries
left. A connection that waits in the backlog is served as soon as the program runs. This module
therefore imports only what takes a few milliseconds.
"""

import json
import socket


class AddressUnavailableError(Exception):
    """An address that the settings give cannot be used; the message names it and the reason."""

    def __init__(self, purpose: str, address: object, reason: OSError) -> None:
        super().__init__(f"cannot listen for {purpose} at {address}: {reason.strerror or reason}")


# All sessions of a deployment may connect at once, and a full backlog delays clients by seconds.
ACCEPT_BACKLOG = 1024


def listen(path: str) -> socket.socket | None:
    """Listens at the address for clients that a settings file gives.

    Returns None if the file has no usable address: the program reads the file again and reports
    the errors.
    """
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib takes milliseconds
            host, _, port = json.load(file)["clients"].rpartition(":")
        return socket.create_server((host, int(port)), backlog=ACCEPT_BACKLOG)
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
