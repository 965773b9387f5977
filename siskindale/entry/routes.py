"""Assignment of groups to pools, cached until the directory changes."""

from collections.abc import Sequence

from siskindale.membership.directory import Directory
from siskindale.membership.rendezvous import rank_members
from siskindale.runtime.program import BundleSource

# Later ranks are never tried: a request has at most 4 attempts, and few pools are excluded.
MAX_RANKED_VMS = 16


class DirectoryRoutes:
    """Ranks the live VMs of each group by rendezvous hashing."""

    def __init__(self, directory: Directory, bundles: BundleSource) -> None:
        self._directory = directory
        self._bundles = bundles
        self._ranked_vms: dict[str, tuple[str, ...]] = {}
        self._pool_urls: dict[str, str] = {}
        self._refresh()
        directory.subscribe(self._refresh)

    @property
    def pools_per_group(self) -> int:
        """Number of VMs that serve a group."""
        bundle = self._bundles.current
        return bundle.pools_per_group if bundle else 0

    @property
    def retry_ratio(self) -> float:
        """Share of requests that may be resent."""
        bundle = self._bundles.current
        return bundle.retry_budget if bundle else 0.0

    @property
    def live_vms(self) -> set[str]:
        """Live VMs."""
        return {member.vm for member in self._directory.members}

    def ranked_vms(self, group: str) -> Sequence[str]:
        """VMs whose pools may serve a group, best first."""
        found = self._ranked_vms.get(group)
        if found is None:
            ranked = rank_members(group, self._directory.members)[:MAX_RANKED_VMS]
            found = self._ranked_vms[group] = tuple(member.vm for member in ranked)
        return found

    def pool_url(self, vm: str) -> str | None:
        """Inbox URL of the pool of a VM, kept after the VM leaves, for its open transactions."""
        return self._pool_urls.get(vm)

    def _refresh(self) -> None:
        self._ranked_vms.clear()
        self._pool_urls.update((m.vm, m.pool.inbox_url) for m in self._directory.members)
