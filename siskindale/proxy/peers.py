"""Gossip among the VMs that own the connections of the same groups."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import gevent

from siskindale.context import Clock
from siskindale.models.gossip import (
    Gossip,
    Loss,
    OwnerLoad,
    PreparationNotice,
    PromotionNotice,
    SampleAnswer,
    SampleRequest,
    StateAnswer,
    StateRequest,
    TargetsNotice,
)
from siskindale.models.messages import Body
from siskindale.models.vm import ProxySettings
from siskindale.platform.entries import encode_target
from siskindale.proxy.admission import Admission
from siskindale.proxy.decisions import draining_targets
from siskindale.proxy.decisions.balancing import ReportedLoad
from siskindale.proxy.decisions.connections import is_starved
from siskindale.proxy.duty import Duties
from siskindale.proxy.members import Membership
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.samples import SampleExchange
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group, Target
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived

if TYPE_CHECKING:
    from siskindale.transport.mailbox import Delivery, Mailbox

GOSSIP_INTERVAL_S = 1.5
LOSS_INTERVAL_S = 0.2
# A peer counts as live until it misses three messages; the margin is for a slow VM.
LIVE_TIMEOUT_S = 5.0
FORGET_TIMEOUT_S = 30.0
REQUEST_INTERVAL_S = 0.5
# Peers whose watch of the store works have the catalog by then, and do not request it.
ANNOUNCE_DELAY_S = 0.2
STATE_PEERS = 3


@attrs.define
class Peer:
    """Another owner, as described by its last message at `heard_at`."""

    vm: str
    url: str
    boot: str
    heard_at: float
    losses: tuple[Loss, ...] = ()
    draining: bool = False


class Peers:
    """The other owners of the groups whose connections this VM owns.

    In a small fleet each VM owns all connections, so that these are all other VMs.
    """

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        state: ProxyState,
        membership: Membership,
        ownership: Ownership,
        yield_connections: Callable[[Group, Target], None],
        admission: Admission,
        duties: Duties,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._duties = duties
        self._mailbox: Mailbox | None = None
        self._state = state
        self._membership = membership
        self._ownership = ownership
        self._yield_connections = yield_connections
        self._admission = admission
        self._promotion_handler: Callable[[PromotionNotice, str], None] | None = None
        self._preparation_handler: Callable[[PreparationNotice, str], None] | None = None
        self._peers: dict[str, Peer] = {}
        self._seeds = {s.inbox_url for s in settings.seeds if s != settings.peers}
        self._state_requested_at = 0.0
        self._samples = SampleExchange(clock, state, self.live_owners, self._send)
        self.draining = False

    def connect(self, mailbox: Mailbox) -> None:
        """Starts the exchange of messages; until then this VM knows no peer and sends nothing."""
        self._mailbox = mailbox
        mailbox.set_handler(Gossip, self._on_gossip)
        mailbox.set_handler(StateRequest, self._on_state_request)
        mailbox.set_handler(StateAnswer, self._on_state_answer)
        mailbox.set_handler(PromotionNotice, self._on_promotion_notice)
        mailbox.set_handler(PreparationNotice, self._on_preparation_notice)
        mailbox.set_handler(TargetsNotice, self._on_targets_notice)
        mailbox.set_handler(SampleRequest, self._samples.on_request)
        mailbox.set_handler(SampleAnswer, self._samples.on_answer)
        mailbox.start()

    def reload(self, settings: ProxySettings) -> None:
        """Applies changed seeds."""
        self._seeds = {s.inbox_url for s in settings.seeds if s != self._settings.peers}

    def live(self) -> list[Peer]:
        """Returns the peers that sent a message recently."""
        heard_after = self._clock.monotonic() - LIVE_TIMEOUT_S
        return [peer for peer in self._peers.values() if peer.heard_at >= heard_after]

    def live_owners(self, group: Group) -> list[Peer]:
        """Returns the live peers that own the connections of a group."""
        if self._ownership.owns_everything(group):
            return self.live()
        owners = {member.vm for member in self._ownership.owners(group)}
        return [peer for peer in self.live() if peer.vm in owners]

    def vm_count(self, group: Group) -> int:
        """Returns the number of VMs that share the connections of a group, this one included."""
        return 1 + sum(not peer.draining for peer in self.live_owners(group))

    def peers_reporting_loss(self, group: Group, target: str) -> list[Peer]:
        """Returns the live peers that report `target` as the lost primary of a group."""
        return [
            peer
            for peer in self.live_owners(group)
            if any(loss.group == group.name and loss.target == target for loss in peer.losses)
        ]

    @long_lived("peers", vital=True)
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
        """Sets the handler for notices of promotions; it gets the notice and the sender's name."""
        self._promotion_handler = handler

    def on_preparation(self, handler: Callable[[PreparationNotice, str], None]) -> None:
        """Sets the handler for notices of preparations; it gets the notice and the sender."""
        self._preparation_handler = handler

    @property
    def isolated(self) -> bool:
        """Whether this VM knows peers and hears none of them."""
        return bool(self._peers) and not self.live()

    def announce_soon(self) -> None:
        """Announces a newer catalog to peers whose own watch of the store may have missed it."""
        gevent.spawn_later(ANNOUNCE_DELAY_S, self.announce)

    def notify_promotion(self, notice: PromotionNotice | PreparationNotice) -> None:
        """Notifies all peers that a promotion is prepared or ordered."""
        for peer in self.live():
            self._send(peer.url, notice)

    def notify_targets(self) -> None:
        """Notifies all peers of changed registrations, if there are any."""
        changes = {
            name: None if entry is None else encode_target(entry)
            for name, entry in self._state.take_changes().items()
        }
        if changes:
            for peer in self.live():
                self._send(peer.url, TargetsNotice(changes))

    def request_state(self) -> None:
        """Asks some peers for the catalog and the registrations, at a limited rate."""
        now = self._clock.monotonic()
        if now < self._state_requested_at + REQUEST_INTERVAL_S:
            return
        self._state_requested_at = now
        live = [peer.url for peer in self.live()]
        others = [m.peers.inbox_url for m in self._membership.table.sample(STATE_PEERS)]
        known = [*live, *others] or sorted(self._seeds)
        for url in list(dict.fromkeys(known))[:STATE_PEERS]:
            self._send(url, StateRequest())

    def request_state_from(self, url: str) -> None:
        """Asks one VM for its state, at a limited rate."""
        now = self._clock.monotonic()
        if now >= self._state_requested_at + REQUEST_INTERVAL_S:
            self._state_requested_at = now
            self._send(url, StateRequest())

    def request_sample(self, group: str) -> None:
        """Asks some peers for a sample of a group, at a limited rate."""
        self._samples.request(group)

    def _losses(self) -> tuple[Loss, ...]:
        return tuple(
            Loss(group.name, group.leadership.primary_id, group.leadership.connection_refused)
            for group in self._state.groups.values()
            if group.leadership.primary_id and group.leadership.lost_since is not None
        )

    def _starved(self) -> tuple[tuple[str, str], ...]:
        now = self._clock.monotonic()
        return tuple(
            (group.name, target.id)
            for group in self._state.groups.values()
            for target in group.targets.values()
            if is_starved(target, now)
        )

    def _owner_loads(self) -> tuple[OwnerLoad, ...]:
        """Returns what this VM runs at targets of which it is one of a few owners."""
        now = self._clock.monotonic()
        return tuple(
            OwnerLoad(
                group.name,
                target.id,
                round(target.average_load.at(target.running_count, now), 2),
            )
            for group in self._state.groups.values()
            if not self._ownership.owns_everything(group) and self._ownership.owns(group)
            for target in group.targets.values()
        )

    def _note_loads(self, gossip: Gossip) -> None:
        now = self._clock.monotonic()
        for load in gossip.loads:
            group = self._state.groups.get(load.group)
            target = group.targets.get(load.target) if group else None
            if target is not None:
                target.reported_loads[gossip.vm] = ReportedLoad(load.running, now)

    def _yield_to_starved(self, starved: tuple[tuple[str, str], ...]) -> None:
        for group_name, target_id in starved:
            group = self._state.groups.get(group_name)
            target = group.targets.get(target_id) if group else None
            if group is not None and target is not None:
                self._yield_connections(group, target)

    def _announce(self, losses: tuple[Loss, ...]) -> None:
        self._forget_silent()
        heard_from = {peer.url for peer in self.live()}
        for url in self._co_owner_urls():
            self._send(url, self._gossip(losses, wants_answer=url not in heard_from))

    def _co_owner_urls(self) -> set[str]:
        """Returns the inboxes of all VMs that own connections of the same groups as this one.

        The homes of a workspace, in all groups, share its quota.
        """
        groups = self._state.groups.values()
        table = self._membership.table
        if any(self._ownership.owns_everything(group) for group in groups):
            members = table.others()
        else:
            owned = [group for group in groups if self._ownership.owns(group)]
            if owned and self._state.has_workspaces:
                owned = list(groups)
            members = [m for group in owned for m in self._ownership.owners(group)]
        return {m.peers.inbox_url for m in members if m.vm != table.own.vm}

    def _gossip(self, losses: tuple[Loss, ...], wants_answer: bool) -> Gossip:
        return Gossip(
            vm=self._settings.vm,
            catalog_version=self._state.catalog_version,
            targets_version=self._state.targets_version,
            losses=losses,
            starved=self._starved(),
            draining=self.draining,
            wants_answer=wants_answer,
            demands=self._admission.report(),
            loads=self._owner_loads(),
            duties=self._duties.report(),
            draining_targets=draining_targets.report(self._state.groups, self._clock.monotonic()),
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
        forget_before = self._clock.monotonic() - FORGET_TIMEOUT_S
        for vm in [peer.vm for peer in self._peers.values() if peer.heard_at < forget_before]:
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
        self._yield_to_starved(gossip.starved)
        self._admission.note_report(gossip.demands)
        self._note_loads(gossip)
        draining_targets.adopt(self._state.groups, gossip.draining_targets, self._clock.monotonic())
        for held in gossip.duties:
            self._duties.adopt_holder(gossip.vm, held)
        if gossip.wants_answer:
            self._send(url, self._gossip(self._losses(), wants_answer=False))
        if gossip.catalog_version > self._state.catalog_version or not self._state.ready:
            self.request_state()

    def _on_state_request(self, delivery: Delivery) -> None:
        state = self._state
        catalog = dict(state.raw_catalog) if state.raw_catalog is not None else None
        targets = {name: encode_target(entry) for name, entry in state.registrations.items()}
        answer = StateAnswer(catalog, targets, state.targets_version)
        self._send(delivery.envelope.reply_to, answer)

    def _on_state_answer(self, delivery: Delivery) -> None:
        answer: StateAnswer = delivery.body
        if answer.catalog is not None:
            self._state.adopt_catalog(answer.catalog, "peer")
        if answer.targets_version > self._state.targets_version:
            self._state.replace_targets(answer.targets, answer.targets_version, "peer")

    def _on_targets_notice(self, delivery: Delivery) -> None:
        self._state.adopt_peer_changes(delivery.body.changes)

    def _on_promotion_notice(self, delivery: Delivery) -> None:
        if self._promotion_handler is not None:
            self._promotion_handler(delivery.body, delivery.envelope.sender)

    def _on_preparation_notice(self, delivery: Delivery) -> None:
        if self._preparation_handler is not None:
            self._preparation_handler(delivery.body, delivery.envelope.sender)
