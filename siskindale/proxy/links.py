"""Links to other VMs, over which statements are forwarded to the owners of connections."""

import gevent
from gevent import socket
from gevent.event import AsyncResult

from siskindale.context import Clock
from siskindale.models.address import Address
from siskindale.models.forwarding import LinkProbe
from siskindale.models.messages import Body
from siskindale.proxy import metrics
from siskindale.runtime.logs import logger
from siskindale.transport.frames import FrameError, FrameStream

CONNECT_TIMEOUT_S = 0.3
# After this time without any message, an owner that owes replies is asked whether it still runs.
SILENCE_S = 0.15
# An owner that does not answer that either is taken for lost.
PROBE_TIMEOUT_S = 0.35
MONITOR_INTERVAL_S = 0.05
# A VM that could not be reached is passed over for this long, unless there is no other.
AVOID_S = 1.0
IDLE_TIMEOUT_S = 60.0


class LinkUnavailableError(Exception):
    """No link could be opened, so nothing was sent."""


class LinkBrokenError(Exception):
    """The link broke after the message was sent; the receiver may have handled it."""


class Link:
    """A stream to one VM with many messages in flight."""

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._next_number = 0
        self._pending: dict[int, AsyncResult] = {}
        self._heard_at = clock.monotonic()
        self._probed_at: float | None = None
        self.used_at = self._heard_at
        self.broken = False
        self._stream = self._connect()
        self._greenlets = [gevent.spawn(self._receive), gevent.spawn(self._monitor)]

    def notify(self, body: Body) -> None:
        """Sends a message that has no reply; raises `LinkBrokenError`."""
        self._send(body, 0)

    def request(self, body: Body, timeout_s: float) -> Body | None:
        """Sends a message and returns its reply, None if there is none in time.

        Raises `LinkBrokenError`.
        """
        self._next_number += 1
        number = self._next_number
        result = self._pending[number] = AsyncResult()
        if len(self._pending) == 1:
            self._heard_at = self._clock.monotonic()
        try:
            self._send(body, number)
            return result.get(timeout=max(0.0, timeout_s))
        except gevent.Timeout:
            return None
        finally:
            self._pending.pop(number, None)

    def close(self, reason: str) -> None:
        """Breaks the link; requests in flight fail."""
        if self.broken:
            return
        self.broken = True
        if self._pending:
            logger().info(
                "link-broken", owner=str(self.address), reason=reason, pending=len(self._pending)
            )
        self._stream.close()
        for result in self._pending.values():
            result.set_exception(LinkBrokenError(reason))

    def _connect(self) -> FrameStream:
        try:
            sock = socket.create_connection(
                (self.address.host, self.address.port), CONNECT_TIMEOUT_S
            )
        except OSError as error:
            raise LinkUnavailableError(f"{self.address}: {error}") from error
        # The limit is for the connection alone: a quiet link is not a broken one.
        sock.settimeout(None)
        return FrameStream(sock)

    def _send(self, body: Body, number: int) -> None:
        self.used_at = self._clock.monotonic()
        if self.broken:
            raise LinkBrokenError("closed")
        try:
            self._stream.send(body, number)
        except OSError as error:
            self.close(repr(error))
            raise LinkBrokenError(str(error)) from error

    def _receive(self) -> None:
        try:
            while (received := self._stream.receive()) is not None:
                number, body = received
                self._heard_at = self._clock.monotonic()
                self._probed_at = None
                result = self._pending.get(number)
                if result is not None:
                    result.set(body)
            self.close("closed by the owner")
        except (OSError, FrameError) as error:
            self.close(repr(error))
        except Exception:
            # A link that is not received from any more would let its requests wait for nothing.
            logger().exception("link-failed", owner=str(self.address))
            self.close("defect")

    def _monitor(self) -> None:
        """Breaks the link if the owner owes replies and gives no sign of life."""
        checked_at = self._clock.monotonic()
        while not self.broken:
            gevent.sleep(MONITOR_INTERVAL_S if self._pending else SILENCE_S)
            now = self._clock.monotonic()
            if now - checked_at > 2 * SILENCE_S:
                # This VM was paused, so the silence may be its own.
                self._heard_at, self._probed_at = now, None
            checked_at = now
            self._check_silence(now)

    def _check_silence(self, now: float) -> None:
        if not self._pending:
            self._probed_at = None
        elif self._probed_at is not None:
            if now - self._probed_at >= PROBE_TIMEOUT_S:
                self.close("silent")
        elif now - self._heard_at >= SILENCE_S:
            self._probed_at = now
            try:
                self._send(LinkProbe(), 0)
            except LinkBrokenError as error:
                logger().debug("link-probe-failed", reason=str(error))


class Links:
    """Links to other VMs, opened when they are needed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._links: dict[Address, Link] = {}
        self._avoid_until: dict[Address, float] = {}
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether no more links are opened because the VM stops."""
        return self._closed

    def close(self, reason: str) -> None:
        """Breaks all links for good; requests in flight fail."""
        self._closed = True
        for link in self._links.values():
            link.close(reason)

    def get(self, address: Address) -> Link:
        """Returns the link to a VM; raises `LinkUnavailableError`."""
        if self._closed:
            raise LinkUnavailableError("the VM stops")
        link = self._links.get(address)
        if link is not None and not link.broken:
            return link
        self._close_idle()
        try:
            link = Link(address, self._clock)
        except LinkUnavailableError:
            self.avoid(address)
            raise
        finally:
            metrics.LINKS_OPENED.inc()
        known = self._links.get(address)
        if known is not None and not known.broken:
            # Another greenlet opened one in the meantime.
            link.close("not needed")
            return known
        self._links[address] = link
        return link

    def avoid(self, address: Address) -> None:
        """Passes a VM over for a while."""
        self._avoid_until[address] = self._clock.monotonic() + AVOID_S

    def avoided(self, address: Address) -> bool:
        """Returns whether a VM is passed over at present."""
        return self._clock.monotonic() < self._avoid_until.get(address, 0.0)

    def _close_idle(self) -> None:
        oldest = self._clock.monotonic() - IDLE_TIMEOUT_S
        for address, link in list(self._links.items()):
            if link.broken or link.used_at < oldest:
                del self._links[address]
                link.close("idle")
