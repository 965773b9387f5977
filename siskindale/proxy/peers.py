"""Exchange of state with the other session proxies of the deployment."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import gevent

from siskindale.context import Clock
from siskindale.models.gossip import (
    Gossip,
    Loss,
    PromotionNotice,
    SampleAnswer,
    SampleRequest,
    StateAnswer,
    StateRequest,
    TargetsNotice,
)
from siskindale.models.messages import Body
from siskindale.models.vm import ProxySettings
from siskindale.proxy.decisions.connections import is_starved
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group, Target
from siskindale.runtime.logs import logger

if TYPE_CHECKING:
    from siskindale.transport.mailbox import Delivery, Mailbox

GOSSIP_INTERVAL_S = 1.5
LOSS_INTERVAL_S = 0.2
# Three missed messages, with room for a slow VM.
SILENCE_S = 5.0
FORGET_S = 30.0
REQUEST_INTERVAL_S = 0.5
# Peers whose watch works have the catalog by then and do not ask for it.
ANNOUNCE_DELAY_S = 0.2
SAMPLE_INTERVAL_S = 0.1
SAMPLE_TIMEOUT_S = 2.0
SAMPLE_PEERS = 3


@attrs.define
class Peer:
    """Another VM as it described itself last; `heard_at` is when."""

    vm: str
    url: str
    boot: str
    heard_at: float
    losses: tuple[Loss, ...] = ()
    draining: bool = False


class Peers:
    """The other VMs of the deployment, found through seeds and each other."""

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        state: ProxyState,
        give_way: Callable[[Group, Target], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._mailbox: Mailbox | None = None
        self._state = state
        self._give_way = give_way
        self._on_notice: Callable[[PromotionNotice, str], None] | None = None
        self._peers: dict[str, Peer] = {}
        self._seeds = {s.inbox_url for s in settings.seeds if s != settings.peers}
        self._requested_at = 0.0
        self._correlations = itertools.count(1)
        self._sample_requests: dict[int, float] = {}
        self._samples_asked: dict[str, float] = {}
        self.draining = False

    def connect(self, mailbox: Mailbox) -> None:
        """Starts the exchange of messages; before, this VM knows no peer and sends nothing."""
        self._mailbox = mailbox
        mailbox.set_handler(Gossip, self._on_gossip)
        mailbox.set_handler(StateRequest, self._on_request)
        mailbox.set_handler(StateAnswer, self._on_answer)
        mailbox.set_handler(PromotionNotice, self._on_promotion)
        mailbox.set_handler(TargetsNotice, self._on_targets)
        mailbox.set_handler(SampleRequest, self._on_sample_request)
        mailbox.set_handler(SampleAnswer, self._on_sample_answer)
        mailbox.start()

    def reload(self, settings: ProxySettings) -> None:
        """Takes changed seeds into use."""
        self._seeds = {s.inbox_url for s in settings.seeds if s != self._settings.peers}

    def live(self) -> list[Peer]:
        """Returns the peers that were heard of lately."""
        limit = self._clock.monotonic() - SILENCE_S
        return [peer for peer in self._peers.values() if peer.heard_at >= limit]

    def vm_count(self) -> int:
        """Returns the number of VMs that share the connections, this one included."""
        return 1 + sum(not peer.draining for peer in self.live())

    def lost_by(self, group: str, target: str) -> list[Peer]:
        """Returns the live peers that do not reach the primary of a group."""
        return [
            peer
            for peer in self.live()
            if any(loss.group == group and loss.target == target for loss in peer.losses)
        ]

    def run(self) -> None:
        """Sends this VM's state regularly until it is killed."""
        while True:
            losses = self._losses()
            self._announce(losses)
            gevent.sleep(LOSS_INTERVAL_S if losses else GOSSIP_INTERVAL_S)

    def announce(self) -> None:
        """Sends this VM's state now."""
        self._announce(self._losses())

    def on_promotion(self, handler: Callable[[PromotionNotice, str], None]) -> None:
        """Sets the handler for notices of promotions; it gets the name of the sender."""
        self._on_notice = handler

    def announce_soon(self) -> None:
        """Tells peers of a newer catalog that their own watch of the store may have missed."""
        gevent.spawn_later(ANNOUNCE_DELAY_S, self.announce)

    def notify_promotion(self, notice: PromotionNotice) -> None:
        """Tells all peers that a promotion is ordered."""
        for peer in self.live():
            self._send(peer.url, notice)

    def notify_targets(self) -> None:
        """Tells all peers of changed registrations, if there are any."""
        changes = {
            name: None if raw is None else dict(raw)
            for name, raw in self._state.take_changes().items()
        }
        if changes:
            for peer in self.live():
                self._send(peer.url, TargetsNotice(changes))

    def request_state(self) -> None:
        """Asks a peer for what the store holds, at a limited rate."""
        now = self._clock.monotonic()
        if now < self._requested_at + REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        known = [peer.url for peer in self.live()] or sorted(self._seeds)
        for url in known[:3]:
            self._send(url, StateRequest())

    def request_sample(self, group: str) -> None:
        """Asks some peers for a sample of a group, at a limited rate."""
        now = self._clock.monotonic()
        if now < self._samples_asked.get(group, 0.0) + SAMPLE_INTERVAL_S:
            return
        self._samples_asked[group] = now
        asked = sorted(self.live(), key=lambda peer: peer.draining)[:SAMPLE_PEERS]
        for peer in asked:
            correlation = next(self._correlations)
            self._sample_requests[correlation] = now
            self._send(peer.url, SampleRequest(group), correlation)
        self._forget_requests(now)

    def _forget_requests(self, now: float) -> None:
        expired = [c for c, at in self._sample_requests.items() if at < now - SAMPLE_TIMEOUT_S]
        for correlation in expired:
            del self._sample_requests[correlation]

    def _on_sample_request(self, delivery: Delivery) -> None:
        request: SampleRequest = delivery.body
        group = self._state.groups.get(request.group)
        if group is None or not group.freshness.samples:
            return
        sample = group.freshness.samples[-1]
        age = self._clock.monotonic() - sample.taken_at
        answer = SampleAnswer(group.name, sample.position, age)
        envelope = delivery.envelope
        self._send(envelope.reply_to, answer, envelope.correlation_id, envelope.sender_boot)

    def _on_sample_answer(self, delivery: Delivery) -> None:
        answer: SampleAnswer = delivery.body
        asked = self._sample_requests.pop(delivery.envelope.correlation_id, None)
        group = self._state.groups.get(answer.group)
        if asked is not None and group is not None:
            group.freshness.note(answer.position, asked - answer.age_s)

    def _losses(self) -> tuple[Loss, ...]:
        return tuple(
            Loss(group.name, group.leadership.target, group.leadership.refused)
            for group in self._state.groups.values()
            if group.leadership.target and group.leadership.lost_since is not None
        )

    def _starved(self) -> tuple[tuple[str, str], ...]:
        now = self._clock.monotonic()
        return tuple(
            (group.name, target.id)
            for group in self._state.groups.values()
            for target in group.targets.values()
            if is_starved(target, now)
        )

    def _yield(self, starved: tuple[tuple[str, str], ...]) -> None:
        for group_name, target_id in starved:
            group = self._state.groups.get(group_name)
            target = group.targets.get(target_id) if group else None
            if group is not None and target is not None:
                self._give_way(group, target)

    def _announce(self, losses: tuple[Loss, ...]) -> None:
        self._forget_silent()
        urls = {peer.url for peer in self._peers.values()}
        for url in urls | self._seeds:
            new = url not in urls
            self._send(url, self._gossip(losses, wants_answer=new, greeting=new))

    def _gossip(
        self, losses: tuple[Loss, ...], wants_answer: bool, greeting: bool = True
    ) -> Gossip:
        return Gossip(
            vm=self._settings.vm,
            catalog_version=self._state.catalog_version,
            targets_version=self._state.targets_version,
            losses=losses,
            starved=self._starved(),
            draining=self.draining,
            wants_answer=wants_answer,
            known=tuple(peer.url for peer in self.live()) if greeting else (),
        )

    def _send(
        self, url: str, body: Body, correlation_id: int = 0, addressed_boot: str = ""
    ) -> None:
        if self._mailbox is not None:
            self._mailbox.send(url, body, correlation_id, addressed_boot)

    def _discard(self, url: str) -> None:
        if self._mailbox is not None:
            self._mailbox.discard_outbox(url)

    def _forget_silent(self) -> None:
        limit = self._clock.monotonic() - FORGET_S
        for vm in [peer.vm for peer in self._peers.values() if peer.heard_at < limit]:
            logger().info("peer-forgotten", peer=vm)
            self._discard(self._peers.pop(vm).url)

    def _on_gossip(self, delivery: Delivery) -> None:
        gossip: Gossip = delivery.body
        if gossip.vm == self._settings.vm:
            return
        url, boot = delivery.envelope.reply_to, delivery.envelope.sender_boot
        known = self._peers.get(gossip.vm)
        if known is None or known.boot != boot:
            logger().info("peer-found", peer=gossip.vm, url=url)
        self._peers[gossip.vm] = Peer(
            gossip.vm, url, boot, self._clock.monotonic(), gossip.losses, gossip.draining
        )
        self._yield(gossip.starved)
        if gossip.wants_answer:
            self._send(url, self._gossip(self._losses(), wants_answer=False))
        self._greet(gossip.known)
        if gossip.catalog_version > self._state.catalog_version or not self._state.ready:
            self.request_state()

    def _greet(self, urls: tuple[str, ...]) -> None:
        known = {peer.url for peer in self._peers.values()} | {self._settings.peers.inbox_url}
        for url in set(urls) - known - self._seeds:
            self._send(url, self._gossip((), wants_answer=True))

    def _on_request(self, delivery: Delivery) -> None:
        state = self._state
        catalog = dict(state.raw_catalog) if state.raw_catalog is not None else None
        targets = {name: dict(raw) for name, raw in state.raw_targets.items()}
        answer = StateAnswer(catalog, targets, state.targets_version)
        self._send(delivery.envelope.reply_to, answer)

    def _on_answer(self, delivery: Delivery) -> None:
        answer: StateAnswer = delivery.body
        if answer.catalog is not None:
            self._state.adopt_catalog(answer.catalog, "peer")
        if answer.targets_version > self._state.targets_version:
            self._state.replace_targets(answer.targets, answer.targets_version, "peer")

    def _on_targets(self, delivery: Delivery) -> None:
        self._state.adopt_notice(delivery.body.changes)

    def _on_promotion(self, delivery: Delivery) -> None:
        if self._on_notice is not None:
            self._on_notice(delivery.body, delivery.envelope.sender)
