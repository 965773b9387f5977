"""In-memory message transport; tests deliver, drop and reorder messages."""

import itertools

import attrs
import msgspec

from siskindale.models.messages import Body, Envelope
from siskindale.transport.mailbox import Delivery, Handler


@attrs.define
class FakeNetwork:
    """Undelivered messages in the order in which they were sent."""

    mailboxes: dict[str, "FakeMailbox"] = attrs.field(factory=dict)
    queue: list[tuple[str, Envelope, Body]] = attrs.field(factory=list)

    def deliver(self, index: int = 0) -> None:
        """Delivers one message, unless its receiver is missing or has restarted."""
        url, envelope, body = self.queue.pop(index)
        receiver = self.mailboxes.get(url)
        if receiver is None or envelope.addressed_boot not in ("", receiver.boot):
            return
        handler = receiver.handlers.get(type(body).kind)  # type: ignore[attr-defined]
        if handler:
            handler(Delivery(envelope, body, 0.0))

    def deliver_all(self) -> None:
        """Delivers messages until none is left, including those sent meanwhile."""
        while self.queue:
            self.deliver()


class FakeMailbox:
    """Replacement for `Mailbox` that uses a `FakeNetwork`."""

    _boot_numbers = itertools.count(1)

    def __init__(self, network: FakeNetwork, url: str) -> None:
        self.url = url
        self.boot = f"boot{next(self._boot_numbers)}"
        self.handlers: dict[str, Handler] = {}
        self._network = network
        self._correlation_ids = itertools.count(1)
        network.mailboxes[url] = self

    def set_handler(self, body_type: type, handler: Handler) -> None:
        """Registers the handler for a type of message."""
        self.handlers[body_type.kind] = handler  # type: ignore[attr-defined]

    def next_correlation_id(self) -> int:
        """Returns an unused correlation id."""
        return next(self._correlation_ids)

    def send(self, url: str, body: Body, correlation_id: int = 0, addressed_boot: str = "") -> bool:
        """Queues a message for delivery."""
        envelope = Envelope(
            kind=body.kind,
            sender=self.url,
            sender_boot=self.boot,
            reply_to=self.url,
            correlation_id=correlation_id,
            sent_at=0.0,
            body=msgspec.Raw(),
            addressed_boot=addressed_boot,
        )
        self._network.queue.append((url, envelope, body))
        return True
