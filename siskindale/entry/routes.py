"""Assignment of groups to pools as the entry sees it, cached until the directory changes."""

from collections.abc import Sequence

from siskindale.membership.directory import Directory
from siskindale.membership.rendezvous import rank_members
from siskindale.runtime.program import BundleSource

# Later ranks are never tried: a request has at most 4 attempts, and excluded pools are few.
RANKED_MAX = 16


class DirectoryRoutes:
    """Ranks by rendezvous hashing over the live members."""

    def __init__(self, directory: Directory, bundles: BundleSource) -> None:
        self._directory = directory
        self._bundles = bundles
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._urls: dict[str, str] = {}
        self._refresh()
        directory.subscribe(self._refresh)

    @property
    def pools_per_group(self) -> int:
        """Number of VMs that serve a group."""
        bundle = self._bundles.current
        return bundle.pools_per_group if bundle else 0

    @property
    def retry_budget(self) -> float:
        """Resent part of all requests."""
        bundle = self._bundles.current
        return bundle.retry_budget if bundle else 0.0

    @property
    def vms(self) -> set[str]:
        """Live VMs."""
        return {member.vm for member in self._directory.members}

    def ranked(self, group: str) -> Sequence[str]:
        """VMs whose pools may serve a group, best first."""
        found = self._ranked.get(group)
        if found is None:
            ranked = rank_members(group, self._directory.members)[:RANKED_MAX]
            found = self._ranked[group] = tuple(member.vm for member in ranked)
        return found

    def url(self, vm: str) -> str | None:
        """Inbox of the pool of a VM; also of one that left, whose transactions go on."""
        return self._urls.get(vm)

    def _refresh(self) -> None:
        self._ranked.clear()
        self._urls.update((m.vm, m.pool.inbox_url) for m in self._directory.members)
