"""Message exchange between programs: one inbox for each program, one outbox for each peer.

Push and pull sockets with own correlation ids keep many requests in flight on one connection;
a request/reply socket would allow one exchange at a time.
"""

import itertools
import uuid
from collections.abc import Callable

import attrs
import gevent
import pynng
from gevent import socket as gevent_socket
from returns.result import Failure

from siskindale.context import Clock
from siskindale.models.address import Address
from siskindale.models.messages import Body, Envelope
from siskindale.transport import codec
from siskindale.transport.delays import Delays
from siskindale.transport.metrics import Purpose, Traffic

MAX_MESSAGE_BYTES = 64 << 20
OUTBOX_MESSAGES = 4096
RECEIVE_BATCH = 256
RECONNECT_MIN_MS = 20
# Below the time after which a quiet pool counts as silent and its queue is dropped.
RECONNECT_MAX_MS = 100
RETRY_SEND_S = 0.002
IDLE_OUTBOX_S = 120.0
HOUSEKEEPING_S = 10.0

Handler = Callable[["Delivery"], None]


_STATEMENT_KINDS = frozenset({"statement", "begin", "transaction-statement", "finish", "answer"})


@attrs.frozen
class Delivery:
    """A received message; `delay_s` is the time it spent beyond the sender's fastest message."""

    envelope: Envelope
    body: Body
    delay_s: float


@attrs.define
class _Outbox:
    socket: pynng.Push0
    used_at: float


class Mailbox:
    """Inbox and outboxes of one program.

    Handlers are called in the receiving greenlet and must not block.
    """

    def __init__(self, name: str, address: Address, clock: Clock) -> None:
        self._name = name
        self._boot = uuid.uuid4().hex
        self._url = address.inbox_url
        self._local = f"tcp://{address.host}:"
        self._clock = clock
        self._correlation = itertools.count(1)
        self._outboxes: dict[str, _Outbox] = {}
        self._delays = Delays()
        self._handlers: dict[str, Handler] = {}
        self._inbox = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES, recv_buffer_size=OUTBOX_MESSAGES)
        self._greenlets: list[gevent.Greenlet] = []
        self._dropped = 0
        self._traffic = {purpose: Traffic(purpose) for purpose in Purpose}

    @property
    def boot(self) -> str:
        """Random id of this start of the program."""
        return self._boot

    @property
    def url(self) -> str:
        """URL that peers send to."""
        return self._url

    @property
    def dropped(self) -> int:
        """Number of messages that could not be decoded or had no handler."""
        return self._dropped

    @property
    def outbox_count(self) -> int:
        """Number of peers with an open outbox."""
        return len(self._outboxes)

    def on(self, body_type: type, handler: Handler) -> None:
        """Sets the handler for messages of a type."""
        self._handlers[body_type.kind] = handler  # type: ignore[attr-defined]

    def start(self) -> None:
        """Listens on the inbox and starts receiving."""
        self._inbox.listen(self._url)
        self._greenlets = [gevent.spawn(self._receive), gevent.spawn(self._keep_house)]

    def close(self) -> None:
        """Stops receiving and closes all sockets."""
        gevent.killall(self._greenlets)
        self._inbox.close()
        for outbox in self._outboxes.values():
            outbox.socket.close()
        self._outboxes.clear()

    def next_correlation(self) -> int:
        """Returns a correlation id that this boot has not used."""
        return next(self._correlation)

    def send(self, url: str, body: Body, correlation_id: int = 0, addressed_boot: str = "") -> bool:
        """Queues a message without blocking; False means that it will never be delivered."""
        envelope = Envelope(
            kind=body.kind,
            sender=self._name,
            sender_boot=self._boot,
            reply_to=self._url,
            correlation_id=correlation_id,
            sent_at=self._clock.monotonic(),
            body=codec.pack(body),
            addressed_boot=addressed_boot,
        )
        data = codec.encode(envelope)
        try:
            self._outbox(url).socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        self._traffic[self._purpose(body.kind, url)].sent.inc(len(data))
        return True

    def reply(self, delivery: Delivery, body: Body, timeout_s: float = 1.0) -> bool:
        """Answers a message; waits for room in the outbox, so an answer is not lost to a burst."""
        envelope = delivery.envelope
        give_up = self._clock.monotonic() + timeout_s
        while not self.send(envelope.reply_to, body, envelope.correlation_id, envelope.sender_boot):
            if self._clock.monotonic() > give_up:
                return False
            gevent.sleep(RETRY_SEND_S)
        return True

    def discard(self, url: str) -> None:
        """Drops what is queued for a peer, which would otherwise arrive after its restart."""
        outbox = self._outboxes.pop(url, None)
        if outbox is not None:
            outbox.socket.close()

    def close_idle(self) -> None:
        """Closes outboxes that were not used for `IDLE_OUTBOX_S`, which bounds memory."""
        self._delays.forget_silent(self._clock.monotonic())
        limit = self._clock.monotonic() - IDLE_OUTBOX_S
        for url in [url for url, outbox in self._outboxes.items() if outbox.used_at < limit]:
            self._outboxes.pop(url).socket.close()

    def _outbox(self, url: str) -> _Outbox:
        outbox = self._outboxes.get(url)
        if outbox is None:
            socket = pynng.Push0(
                send_buffer_size=OUTBOX_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            socket.dial(url, block=False)
            outbox = self._outboxes[url] = _Outbox(socket, 0.0)
        outbox.used_at = self._clock.monotonic()
        return outbox

    def _keep_house(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_S)
            self.close_idle()

    def _receive(self) -> None:
        descriptor = self._inbox.recv_fd
        while True:
            gevent_socket.wait_read(descriptor)
            self._drain()

    def _drain(self) -> None:
        for count in itertools.count(1):
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                return
            self._dispatch(data)
            if count % RECEIVE_BATCH == 0:
                gevent.sleep(0)

    def _dispatch(self, data: bytes) -> None:
        decoded = codec.decode(data)
        if isinstance(decoded, Failure):
            self._dropped += 1
            return
        envelope, body = decoded.unwrap()
        self._traffic[self._purpose(envelope.kind, envelope.reply_to)].received.inc(len(data))
        handler = self._handlers.get(envelope.kind)
        if handler is None or envelope.addressed_boot not in ("", self._boot):
            self._dropped += 1
            return
        handler(Delivery(envelope, body, self._delay(envelope)))

    def _purpose(self, kind: str, peer: str) -> Purpose:
        if kind in _STATEMENT_KINDS:
            return Purpose.STATEMENTS
        return Purpose.LOCAL if peer.startswith(self._local) else Purpose.CONTROL

    def _delay(self, envelope: Envelope) -> float:
        now = self._clock.monotonic()
        return self._delays.note(envelope.sender_boot, envelope.sent_at, now)
