"""Membership of the fleet: datagrams by which VMs learn of each other and notice losses."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs
import gevent
from gevent import socket
from gevent.event import Event
from returns.result import Failure

from siskindale.context import Clock
from siskindale.models.address import Address
from siskindale.models.members import (
    MemberFact,
    MemberFacts,
    MemberIndirectPing,
    MemberPing,
    MemberPingAnswer,
)
from siskindale.models.messages import Body, Envelope
from siskindale.models.vm import ProxySettings
from siskindale.proxy import metrics
from siskindale.proxy.decisions.membership import MemberTable
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.transport import codec

PROBE_INTERVAL_S = 1.0
# A VM whose answer takes longer is asked through others before it is suspected.
DIRECT_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.5
INDIRECT_PROBES = 2
JOIN_INTERVAL_S = 0.3
# Candidates are asked in groups, so that a large directory does not fill the queues of the link.
CANDIDATES_AT_ONCE = 64
CANDIDATES_INTERVAL_S = 0.02
# So many of them are asked for all that they know. The others tell the newest facts only.
COMPLETE_ANSWERS = 2
# News are collected for this long before they are passed on, since they come in bursts.
GOSSIP_DELAY_S = 0.05
FACTS_PER_DATAGRAM = 12
# Tables differ while updates spread; only a lasting difference calls for a complete exchange.
QUIET_BEFORE_SYNC_S = 1.5
# If a wait takes this much longer than planned, this VM was paused, and silence proves nothing.
STALL_THRESHOLD_S = 0.5

CatalogVersion = Callable[[], int]
CatalogHandler = Callable[[str], None]
Handler = Callable[[Any, Envelope, Any], None]


@attrs.define
class _Probe:
    """A question that waits for its answer; `relay_to` asked for it on behalf of another probe."""

    answered: Event = attrs.field(factory=Event)
    relay_to: Address | None = None
    relayed_id: int = 0


class Membership:
    """Knows the VMs of the fleet and tells them of this one."""

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        random: Random,
        catalog_version: CatalogVersion,
        on_newer_catalog: CatalogHandler,
    ) -> None:
        own = MemberFact(
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            peers=settings.peers,
            forwarding=settings.forwarding,
            capacity=settings.capacity,
            boot=f"{random.getrandbits(32):08x}",
            incarnation=int(clock.time()),
        )
        self._table = MemberTable(own, random)
        self._clock = clock
        self._seeds = _other_addresses(settings)
        self._catalog_version = catalog_version
        self._on_newer_catalog = on_newer_catalog
        self._socket: Any = None
        self._greenlets: list[gevent.Greenlet] = []
        self._probes: dict[int, _Probe] = {}
        self._next_probe_id = 0
        self._updates = Event()
        self._changed_at = clock.monotonic()
        self._synced_at = 0.0
        self._differs = False
        self._candidates_added = Event()
        self._complete_answers_left = COMPLETE_ANSWERS
        self._on_returned: Callable[[], None] = lambda: None

    @property
    def table(self) -> MemberTable:
        """Facts on all members."""
        return self._table

    def reload(self, settings: ProxySettings) -> None:
        """Applies changed seeds."""
        self._seeds = _other_addresses(settings)

    def start(self) -> None:
        """Starts to listen for datagrams and to probe other VMs."""
        address = self._table.own.peers
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        tasks = (
            self._receive,
            self._probe_members,
            self._spread_updates,
            self._ask_candidates,
        )
        self._greenlets = [supervise(task) for task in tasks]

    def stop(self) -> None:
        """Stops at once, without telling the fleet."""
        gevent.killall(self._greenlets)
        self._socket.close()

    def on_returned(self, listener: Callable[[], None]) -> None:
        """Calls `listener` when VMs are heard again that this one had forgotten."""
        self._on_returned = listener

    def consider(self, facts: Sequence[MemberFact]) -> None:
        """Asks the VMs of a list whether they are alive; until then they are no members."""
        unknown = [fact for fact in facts if fact.vm not in self._table.rows]
        self._table.candidates.add(unknown, self._clock.monotonic())
        self._candidates_added.set()

    def lost_to_remove(self) -> list[MemberFact]:
        """Returns the VMs unheard for long whose rows this VM has to remove from the directory."""
        return self._table.lost_to_remove(self._clock.monotonic())

    def quiet_for(self, duration_s: float) -> bool:
        """Returns whether other VMs are known and nothing has changed for a while."""
        quiet = self._clock.monotonic() - self._changed_at >= duration_s
        return quiet and bool(self._table.others())

    def drain(self) -> None:
        """Tells the fleet that this VM takes no new work any more."""
        self._table.drain(self._clock.monotonic())
        self._note_update()
        self._send_updates()

    @long_lived("member-probes", vital=True)
    def _probe_members(self) -> None:
        while True:
            target = self._table.next_to_probe()
            if target is None:
                self._join()
                gevent.sleep(JOIN_INTERVAL_S)
                continue
            started_at = self._clock.monotonic()
            self._probe(target)
            self._expire()
            self._contact_lost()
            elapsed_s = self._clock.monotonic() - started_at
            gevent.sleep(max(0.05, PROBE_INTERVAL_S - elapsed_s))

    def _join(self) -> None:
        for seed in self._seeds:
            self._send(seed, self._ping(wants_all=True))
        silent = self._table.candidates.silent()
        if silent:
            self._ask([self._table.random.choice(silent)])

    @long_lived("member-candidates")
    def _ask_candidates(self) -> None:
        candidates = self._table.candidates
        while True:
            self._candidates_added.wait()
            self._candidates_added.clear()
            while candidates.any_to_ask():
                self._ask(candidates.next_to_ask(self._clock.monotonic(), CANDIDATES_AT_ONCE))
                gevent.sleep(CANDIDATES_INTERVAL_S)

    def _ask(self, candidates: Sequence[MemberFact]) -> None:
        facts = (self._table.own,)
        for candidate in candidates:
            wants_all = self._complete_answers_left > 0
            self._complete_answers_left -= wants_all
            ping = MemberPing(facts, self._table.digest, self._catalog_version(), wants_all)
            self._send(candidate.peers, ping)

    def _probe(self, target: MemberFact) -> None:
        """Asks one VM whether it is alive, directly and then through others."""
        started_at = self._clock.monotonic()
        probe = _Probe()
        probe_id = self._add_probe(probe)
        self._send(target.peers, self._ping(wants_all=self._needs_sync()), probe_id)
        if not probe.answered.wait(DIRECT_TIMEOUT_S):
            for helper in self._table.sample(INDIRECT_PROBES, {target.vm}):
                self._send(helper.peers, MemberIndirectPing(target.peers), probe_id)
            probe.answered.wait(INDIRECT_TIMEOUT_S)
        self._probes.pop(probe_id, None)
        now = self._clock.monotonic()
        stalled = now - started_at > DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S + STALL_THRESHOLD_S
        if stalled:
            self._table.restart_suspicions(now)
        elif not probe.answered.is_set() and self._table.suspect(target.vm, now):
            logger().info("member-suspected", member=target.vm)
            self._note_update()

    def _expire(self) -> None:
        """Declares suspected VMs gone, and forgets those that have been gone for long."""
        now = self._clock.monotonic()
        for fact in self._table.expire_suspects(now):
            logger().info("member-gone", member=fact.vm, incarnation=fact.incarnation)
            self._note_update()
        self._table.forget_gone(now)
        metrics.MEMBERS.value = len(self._table.members())

    def _contact_lost(self) -> None:
        """Pings one VM that seems to be gone, as a partition between the two may have ended."""
        members = {fact.peers for fact in self._table.members()}
        silent = [fact.peers for fact in self._table.candidates.silent()]
        seeds = [seed for seed in self._seeds if seed not in members]
        lost = [*self._table.gone(), *seeds, *silent]
        if lost:
            self._send(self._table.random.choice(lost), self._ping())

    def _needs_sync(self) -> bool:
        """Returns whether an earlier answer showed a table that still differs from this one."""
        now = self._clock.monotonic()
        if not self._differs or now - self._changed_at < QUIET_BEFORE_SYNC_S:
            return False
        self._differs = False
        return now - self._synced_at >= QUIET_BEFORE_SYNC_S

    @long_lived("member-gossip", vital=True)
    def _spread_updates(self) -> None:
        while True:
            self._updates.wait()
            gevent.sleep(GOSSIP_DELAY_S)
            self._updates.clear()
            self._send_updates()

    def _send_updates(self) -> None:
        facts = self._table.take_updates(FACTS_PER_DATAGRAM)
        if not facts:
            return
        for member in self._table.gossip_receivers():
            self._send(member.peers, MemberFacts(facts))
        if any(row.transmissions_left for row in self._table.rows.values()):
            self._updates.set()

    def _note_update(self) -> None:
        self._changed_at = self._clock.monotonic()
        self._updates.set()

    def _merge(self, facts: Sequence[MemberFact]) -> None:
        changed = self._table.merge(facts, self._clock.monotonic())
        for fact in changed:
            event = "member-changed" if fact.vm != self._table.own.vm else "member-refuted"
            logger().debug(event, member=fact.vm, state=fact.state.name.lower())
        if changed:
            self._note_update()
        returned = self._table.take_returned()
        if returned:
            logger().info("members-returned", members=",".join(returned))
            self._on_returned()

    def _ping(self, wants_all: bool = False) -> MemberPing:
        own = self._table.own
        facts = (own, *self._table.take_updates(FACTS_PER_DATAGRAM))
        return MemberPing(facts, self._table.digest, self._catalog_version(), wants_all)

    @long_lived("member-datagrams", vital=True)
    def _receive(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(1 << 16)
            decoded = codec.decode_message(data)
            if isinstance(decoded, Failure):
                logger().warning("datagram-malformed", reason=decoded.failure())
                continue
            envelope, body = decoded.unwrap()
            metrics.DATAGRAMS.labels("received").inc()
            handler = self._handlers.get(type(body))
            if handler is not None:
                self._handle(handler, envelope, body)

    def _handle(self, handler: Handler, envelope: Envelope, body: Body) -> None:
        """Handles one datagram; a failure concerns no other."""
        try:
            handler(self, envelope, body)
        except Exception:
            logger().exception("datagram-failed", kind=envelope.kind, sender=envelope.sender)

    def _on_ping(self, envelope: Envelope, ping: MemberPing) -> None:
        self._merge(ping.facts)
        sender = Address.parse(envelope.reply_to)
        known = self._table.fact(envelope.sender)
        corrections = (known,) if known is not None and known not in ping.facts else ()
        facts = (*corrections, self._table.own, *self._table.take_updates(FACTS_PER_DATAGRAM))
        answer = MemberPingAnswer(facts, self._table.digest, self._catalog_version())
        self._send(sender, answer, envelope.correlation_id)
        if ping.wants_all:
            self._send_all(sender)
        self._check_catalog(envelope, ping.catalog_version)

    def _on_ping_answer(self, envelope: Envelope, answer: MemberPingAnswer) -> None:
        self._merge(answer.facts)
        self._differs = answer.digest != self._table.digest
        probe = self._probes.get(envelope.correlation_id)
        if probe is None:
            return
        if probe.relay_to is not None:
            del self._probes[envelope.correlation_id]
            self._send(probe.relay_to, answer, probe.relayed_id)
        probe.answered.set()
        self._check_catalog(envelope, answer.catalog_version)

    def _on_indirect_ping(self, envelope: Envelope, request: MemberIndirectPing) -> None:
        relay_to = Address.parse(envelope.reply_to)
        probe = _Probe(relay_to=relay_to, relayed_id=envelope.correlation_id)
        probe_id = self._add_probe(probe)
        self._send(request.address, self._ping(), probe_id)
        gevent.spawn_later(INDIRECT_TIMEOUT_S, self._probes.pop, probe_id, None)

    def _on_facts(self, _: Envelope, message: MemberFacts) -> None:
        self._merge(message.facts)

    _handlers: dict[type, Handler] = {
        MemberPing: _on_ping,
        MemberPingAnswer: _on_ping_answer,
        MemberIndirectPing: _on_indirect_ping,
        MemberFacts: _on_facts,
    }

    def _check_catalog(self, envelope: Envelope, version: int) -> None:
        if version > self._catalog_version():
            self._on_newer_catalog(Address.parse(envelope.reply_to).inbox_url)

    def _send_all(self, receiver: Address) -> None:
        """Sends all facts in as many datagrams as they need."""
        facts = [row.fact for row in self._table.rows.values()]
        self._synced_at = self._clock.monotonic()
        for start in range(0, len(facts), FACTS_PER_DATAGRAM):
            self._send(receiver, MemberFacts(tuple(facts[start : start + FACTS_PER_DATAGRAM])))

    def _add_probe(self, probe: _Probe) -> int:
        self._next_probe_id += 1
        self._probes[self._next_probe_id] = probe
        return self._next_probe_id

    def _send(self, receiver: Address, body: Body, correlation_id: int = 0) -> None:
        own = self._table.own
        envelope = Envelope(
            kind=body.kind,
            sender=own.vm,
            sender_boot=own.boot,
            reply_to=str(own.peers),
            correlation_id=correlation_id,
            sent_at=self._clock.monotonic(),
            body=codec.encode_body(body),
        )
        data = codec.encode_envelope(envelope)
        try:
            self._socket.sendto(data, (receiver.host, receiver.port))
        except OSError as error:
            # A lost datagram is repeated by the protocol; an address without a route is no member.
            logger().debug("datagram-not-sent", receiver=str(receiver), reason=repr(error))
            return
        metrics.DATAGRAMS.labels("sent").inc()


def _other_addresses(settings: ProxySettings) -> list[Address]:
    return [seed for seed in settings.seeds if seed != settings.peers]
