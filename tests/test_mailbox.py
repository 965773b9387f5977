"""Messages between two mailboxes over real sockets."""

from collections.abc import Iterator

import gevent
import pytest

from bench.processes import free_ports, wait_until
from siskindale.context import SystemClock
from siskindale.models.wire import DrainNotice
from siskindale.transport.mailbox import Mailbox

Received = list[str]


@pytest.fixture
def mailboxes() -> Iterator[tuple[Mailbox, Mailbox, Received]]:
    """A sender that is listening, and a receiver that is not listening yet."""
    received: Received = []
    sender, receiver = (
        Mailbox(name, address, SystemClock())
        for name, address in zip(("a", "b"), free_ports(2), strict=True)
    )
    receiver.set_handler(DrainNotice, lambda delivery: received.append(delivery.body.program))
    sender.start()
    yield sender, receiver, received
    sender.close()
    receiver.close()


def test_messages_queued_for_an_absent_peer_arrive(
    mailboxes: tuple[Mailbox, Mailbox, Received],
) -> None:
    """Guards against losing messages sent while a peer starts."""
    sender, receiver, received = mailboxes
    assert sender.send(receiver.url, DrainNotice("first"))
    receiver.start()
    wait_until(lambda: received == ["first"], 5.0, "delivery")


def test_discarded_messages_do_not_arrive_after_a_restart(
    mailboxes: tuple[Mailbox, Mailbox, Received],
) -> None:
    """Guards against an old write that runs after its pool restarts."""
    sender, receiver, received = mailboxes
    sender.send(receiver.url, DrainNotice("old"))
    sender.discard_outbox(receiver.url)
    receiver.start()
    gevent.sleep(0.1)
    sender.send(receiver.url, DrainNotice("new"))
    wait_until(lambda: "new" in received, 5.0, "delivery")
    assert received == ["new"]
