"""Graceful shutdown: SIGTERM starts a drain, a second signal does not shorten it."""

import signal

import gevent
from gevent.event import Event


class Shutdown:
    """Request to stop; `draining` is true from the first SIGTERM or SIGINT on."""

    def __init__(self) -> None:
        self._requested = Event()

    @property
    def draining(self) -> bool:
        """Whether the program takes no new work."""
        return self._requested.is_set()

    def install(self) -> None:
        """Handles SIGTERM and SIGINT of this process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.request)

    def request(self) -> None:
        """Starts the drain."""
        self._requested.set()

    def wait(self) -> None:
        """Blocks the calling greenlet until a drain is requested."""
        self._requested.wait()
