"""Takes the failover duty while nobody holds it."""

from collections.abc import Iterable

import gevent

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.models.vm import ProxySettings
from siskindale.proxy.duty import Duties
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.peers import Peer, Peers
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group
from siskindale.runtime.supervision import long_lived

CHECK_INTERVAL_S = 1.0
# Share of the check interval that is added per rank, so that VMs check one after another and the
# first one takes the duty before the next one checks.
RANK_INTERVAL_SHARE = 0.3
ORPHANED_TIMEOUT_S = 4.0


def vm_rank(key: str, vm: str, peers: Iterable[Peer]) -> int:
    """Returns the rank of a VM among live peers, 0 for the first; it depends on `key`."""
    own_score = rendezvous_score(key, vm)
    return sum(rendezvous_score(key, peer.vm) > own_score for peer in peers if not peer.draining)


class DutyKeeper:
    """Takes each duty while nobody holds it, so that a token exists before it is needed."""

    def __init__(
        self,
        settings: ProxySettings,
        state: ProxyState,
        peers: Peers,
        ownership: Ownership,
        duties: Duties,
    ) -> None:
        self._settings = settings
        self._state = state
        self._peers = peers
        self._ownership = ownership
        self._duties = duties
        self._orphaned_since: dict[str, float] = {}

    @long_lived("duty")
    def run(self) -> None:
        """Checks regularly who holds the duties, until it is killed."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if not self._state.ready:
                continue
            for group in self._group_of_each_duty():
                delay_s = CHECK_INTERVAL_S * self._rank(group) * RANK_INTERVAL_SHARE
                gevent.spawn_later(delay_s, self._check, group)

    def note_restored(self) -> None:
        """Takes the held duties again, because the store may have lost their rows."""
        self._duties.note_restored()
        for group in self._group_of_each_duty():
            if self._duties.of(group).held_before_restoration:
                gevent.spawn(self._check, group)

    def _group_of_each_duty(self) -> list[Group]:
        owned = [g for g in self._state.groups.values() if self._ownership.owns(g)]
        return list({self._duties.of(group).key: group for group in owned}.values())

    def _check(self, group: Group) -> None:
        duty = self._duties.of(group)
        if duty.held_before_restoration:
            duty.take("the store was restored")
            return
        if not duty.known and not duty.refresh():
            return
        if duty.token is not None:
            return
        if duty.holder in ("", self._settings.vm):
            duty.take("held by an earlier start" if duty.holder else "vacant")
            return
        now = self._state.now()
        live = {peer.vm for peer in self._peers.live_owners(group) if not peer.draining}
        if duty.holder in live:
            self._orphaned_since.pop(duty.key, None)
            return
        orphaned_since = self._orphaned_since.setdefault(duty.key, now)
        if now - orphaned_since >= ORPHANED_TIMEOUT_S and self._rank(group) == 0:
            del self._orphaned_since[duty.key]
            duty.take("holder is gone")

    def _rank(self, group: Group) -> int:
        key = self._duties.of(group).key
        return vm_rank(key, self._settings.vm, self._peers.live_owners(group))
