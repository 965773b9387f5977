"""Messaging between programs: one inbox for each program, one outbox for each peer.

Push and pull sockets with correlation ids allow many requests in flight on one connection; a
request/reply socket would allow one at a time.
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
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.transport import codec
from siskindale.transport.delays import DelayEstimator
from siskindale.transport.metrics import TrafficCounters, TrafficPurpose

MAX_MESSAGE_BYTES = 64 << 20
QUEUE_CAPACITY_MESSAGES = 4096
RECEIVE_BATCH_SIZE = 256
RECONNECT_MIN_MS = 20
# Less than the time after which a quiet pool counts as unresponsive and its queue is discarded.
RECONNECT_MAX_MS = 100
SEND_RETRY_INTERVAL_S = 0.002
OUTBOX_IDLE_TIMEOUT_S = 120.0
HOUSEKEEPING_INTERVAL_S = 10.0

Handler = Callable[["Delivery"], None]


_STATEMENT_MESSAGE_KINDS = frozenset(
    {"statement", "begin", "transaction-statement", "finish", "answer"}
)


@attrs.frozen
class Delivery:
    """A received message; `delay_s` is its delay over the sender's fastest recent message."""

    envelope: Envelope
    body: Body
    delay_s: float


@attrs.define
class _Outbox:
    socket: pynng.Push0
    last_used_at: float


class Mailbox:
    """Inbox and outboxes of one program.

    Handlers run in the receiving greenlet and must not block.
    """

    def __init__(self, name: str, address: Address, clock: Clock) -> None:
        self._name = name
        self._boot = uuid.uuid4().hex
        self._url = address.inbox_url
        self._local_url_prefix = f"tcp://{address.host}:"
        self._clock = clock
        self._correlation_ids = itertools.count(1)
        self._outboxes: dict[str, _Outbox] = {}
        self._delay_estimator = DelayEstimator()
        self._handlers: dict[str, Handler] = {}
        self._inbox = pynng.Pull0(
            recv_max_size=MAX_MESSAGE_BYTES, recv_buffer_size=QUEUE_CAPACITY_MESSAGES
        )
        self._greenlets: list[gevent.Greenlet] = []
        self._dropped_messages = 0
        self._traffic = {purpose: TrafficCounters(purpose) for purpose in TrafficPurpose}

    @property
    def boot(self) -> str:
        """Random id of this run of the program."""
        return self._boot

    @property
    def url(self) -> str:
        """URL of the inbox."""
        return self._url

    @property
    def dropped_messages(self) -> int:
        """Number of messages that were malformed, had no handler or addressed another boot."""
        return self._dropped_messages

    def set_handler(self, body_class: type, handler: Handler) -> None:
        """Sets the handler for messages of a class."""
        self._handlers[body_class.kind] = handler  # type: ignore[attr-defined]

    def start(self) -> None:
        """Starts listening on the inbox and receiving messages."""
        self._inbox.listen(self._url)
        self._greenlets = [supervise(self._receive), supervise(self._run_housekeeping)]

    def close(self) -> None:
        """Stops receiving and closes all sockets."""
        gevent.killall(self._greenlets)
        self._inbox.close()
        for outbox in self._outboxes.values():
            outbox.socket.close()
        self._outboxes.clear()

    def next_correlation_id(self) -> int:
        """Returns a correlation id that this boot has not used yet."""
        return next(self._correlation_ids)

    def send(self, url: str, body: Body, correlation_id: int = 0, addressed_boot: str = "") -> bool:
        """Queues a message without blocking; drops it and returns False if the outbox is full."""
        envelope = Envelope(
            kind=body.kind,
            sender=self._name,
            sender_boot=self._boot,
            reply_to=self._url,
            correlation_id=correlation_id,
            sent_at=self._clock.monotonic(),
            body=codec.encode_body(body),
            addressed_boot=addressed_boot,
        )
        data = codec.encode_envelope(envelope)
        try:
            self._outbox(url).socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        self._traffic[self._traffic_purpose(body.kind, url)].sent.inc(len(data))
        return True

    def reply(self, delivery: Delivery, body: Body, timeout_s: float = 1.0) -> bool:
        """Answers a message; waits for outbox space so that a burst does not lose answers."""
        envelope = delivery.envelope
        deadline = self._clock.monotonic() + timeout_s
        while not self.send(envelope.reply_to, body, envelope.correlation_id, envelope.sender_boot):
            if self._clock.monotonic() > deadline:
                return False
            gevent.sleep(SEND_RETRY_INTERVAL_S)
        return True

    def discard_outbox(self, url: str) -> None:
        """Discards the messages queued for a peer, which it would receive after a restart."""
        outbox = self._outboxes.pop(url, None)
        if outbox is not None:
            outbox.socket.close()

    def close_idle_outboxes(self) -> None:
        """Closes outboxes unused for `OUTBOX_IDLE_TIMEOUT_S`, which bounds memory use."""
        self._delay_estimator.remove_silent_senders(self._clock.monotonic())
        oldest_allowed = self._clock.monotonic() - OUTBOX_IDLE_TIMEOUT_S
        for url in [
            url for url, outbox in self._outboxes.items() if outbox.last_used_at < oldest_allowed
        ]:
            self._outboxes.pop(url).socket.close()

    def _outbox(self, url: str) -> _Outbox:
        outbox = self._outboxes.get(url)
        if outbox is None:
            socket = pynng.Push0(
                send_buffer_size=QUEUE_CAPACITY_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            socket.dial(url, block=False)
            outbox = self._outboxes[url] = _Outbox(socket, 0.0)
        outbox.last_used_at = self._clock.monotonic()
        return outbox

    @long_lived("mailbox-housekeeping")
    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            self.close_idle_outboxes()

    @long_lived("mailbox", vital=True)
    def _receive(self) -> None:
        receive_fd = self._inbox.recv_fd
        while True:
            gevent_socket.wait_read(receive_fd)
            self._receive_available()

    def _receive_available(self) -> None:
        for count in itertools.count(1):
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                return
            self._dispatch(data)
            if count % RECEIVE_BATCH_SIZE == 0:
                gevent.sleep(0)

    def _dispatch(self, data: bytes) -> None:
        decoded = codec.decode_message(data)
        if isinstance(decoded, Failure):
            self._dropped_messages += 1
            return
        envelope, body = decoded.unwrap()
        self._traffic[self._traffic_purpose(envelope.kind, envelope.reply_to)].received.inc(
            len(data)
        )
        handler = self._handlers.get(envelope.kind)
        if handler is None or envelope.addressed_boot not in ("", self._boot):
            self._dropped_messages += 1
            return
        try:
            handler(Delivery(envelope, body, self._message_delay_s(envelope)))
        except Exception:
            self._dropped_messages += 1
            logger().exception("message-failed", kind=envelope.kind, sender=envelope.sender)

    def _traffic_purpose(self, kind: str, peer: str) -> TrafficPurpose:
        if kind in _STATEMENT_MESSAGE_KINDS:
            return TrafficPurpose.STATEMENTS
        return (
            TrafficPurpose.LOCAL
            if peer.startswith(self._local_url_prefix)
            else TrafficPurpose.CONTROL
        )

    def _message_delay_s(self, envelope: Envelope) -> float:
        now = self._clock.monotonic()
        return self._delay_estimator.record_message(envelope.sender_boot, envelope.sent_at, now)
