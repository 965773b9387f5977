"""Links between VMs whose loops meet an unforeseen exception."""

from collections.abc import Iterator
from unittest.mock import Mock, patch

import gevent
import pytest
from gevent.server import StreamServer

from bench.processes import free_addresses
from siskindale.context import SystemClock
from siskindale.models.address import Address
from siskindale.models.forwarding import LinkProbe
from siskindale.proxy.links import Link, LinkBrokenError
from siskindale.proxy.owner import _ServedLink
from siskindale.transport.frames import FrameStream


@pytest.fixture
def silent_owner() -> Iterator[Address]:
    """Address at which messages are read and not answered."""
    address = free_addresses(1)[0]
    server = StreamServer((address.host, address.port), lambda sock, _: sock.recv(1 << 16))
    server.start()
    yield address
    server.stop()


def test_a_request_fails_at_once_when_its_link_is_no_longer_received_from(
    silent_owner: Address,
) -> None:
    """Guards against requests that wait for replies which nobody reads any more."""
    failing = patch.object(FrameStream, "receive", Mock(side_effect=RuntimeError("defect")))
    with failing:
        link = Link(silent_owner, SystemClock())
        with gevent.Timeout(0.3), pytest.raises(LinkBrokenError):
            link.request(LinkProbe(), 5.0)
    assert link.broken


def test_a_served_link_that_fails_rolls_back_what_it_has_open() -> None:
    """Guards against an exception that reaches nobody, and transactions that stay open."""
    transactions, transaction = Mock(), Mock(running=False, failed=False)
    state = Mock(transaction_idle_s=3.0, now=lambda: 1.0)
    link = _ServedLink(Mock(), "vm1", state, Mock(transactions=transactions), Mock())
    link._open[1] = transaction
    with patch.object(link, "_stream", Mock(receive=Mock(side_effect=RuntimeError("defect")))):
        link.run()
    transactions.end.assert_called_once_with(transaction)
