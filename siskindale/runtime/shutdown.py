"""Graceful shutdown: SIGTERM or SIGINT starts a drain; further signals do not shorten it."""

import signal

import gevent
from gevent.event import Event


class Shutdown:
    """Shutdown request; `draining` is true after the first SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self._requested = Event()

    @property
    def draining(self) -> bool:
        """Whether the program is draining and accepts no new work."""
        return self._requested.is_set()

    def install(self) -> None:
        """Installs the handlers for SIGTERM and SIGINT."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self.request)

    def request(self) -> None:
        """Starts the drain."""
        self._requested.set()

    def wait(self) -> None:
        """Blocks the calling greenlet until a drain is requested."""
        self._requested.wait()
