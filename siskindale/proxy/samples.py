"""Samples of the ends of logs, which owners ask each other for."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from siskindale.context import Clock
from siskindale.models.gossip import SampleAnswer, SampleRequest
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group

if TYPE_CHECKING:
    from siskindale.proxy.peers import Peer
    from siskindale.transport.mailbox import Delivery

SAMPLE_INTERVAL_S = 0.1
SAMPLE_TIMEOUT_S = 2.0
SAMPLE_PEERS = 3


class SampleExchange:
    """Asks other owners for samples, and answers them.

    Only the answer to a request of this VM is used, since its time bounds the age of the sample.
    """

    def __init__(
        self,
        clock: Clock,
        state: ProxyState,
        live_owners: Callable[[Group], Iterable[Peer]],
        send: Callable[..., None],
    ) -> None:
        self._clock = clock
        self._state = state
        self._live_owners = live_owners
        self._send = send
        self._correlation_ids = itertools.count(1)
        self._requests: dict[int, float] = {}
        self._requested_at: dict[str, float] = {}

    def request(self, group: str) -> None:
        """Asks some owners for a sample of a group, at a limited rate."""
        now = self._clock.monotonic()
        if now < self._requested_at.get(group, 0.0) + SAMPLE_INTERVAL_S:
            return
        self._requested_at[group] = now
        known_group = self._state.groups.get(group)
        live = self._live_owners(known_group) if known_group else []
        for peer in sorted(live, key=lambda peer: peer.draining)[:SAMPLE_PEERS]:
            correlation_id = next(self._correlation_ids)
            self._requests[correlation_id] = now
            self._send(peer.url, SampleRequest(group), correlation_id)
        self._forget_expired(now)

    def _forget_expired(self, now: float) -> None:
        expired = [n for n, at in self._requests.items() if at < now - SAMPLE_TIMEOUT_S]
        for correlation_id in expired:
            del self._requests[correlation_id]

    def on_request(self, delivery: Delivery) -> None:
        """Answers with the newest sample, if there is one."""
        request: SampleRequest = delivery.body
        group = self._state.groups.get(request.group)
        if group is None or not group.freshness.samples:
            return
        sample = group.freshness.samples[-1]
        age = self._clock.monotonic() - sample.taken_at
        answer = SampleAnswer(group.name, sample.position, age)
        envelope = delivery.envelope
        self._send(envelope.reply_to, answer, envelope.correlation_id, envelope.sender_boot)

    def on_answer(self, delivery: Delivery) -> None:
        """Records the sample of an answer to a request that has not expired."""
        answer: SampleAnswer = delivery.body
        asked_at = self._requests.pop(delivery.envelope.correlation_id, None)
        group = self._state.groups.get(answer.group)
        if asked_at is not None and group is not None:
            group.freshness.add_sample(answer.position, asked_at - answer.age_s)
