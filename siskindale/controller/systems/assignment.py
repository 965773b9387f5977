"""Which groups this VM controls: those for which it is among the first three of the rank."""

from collections.abc import Mapping

from siskindale.controller.tables import GroupRow, Peer, Tables, TargetRow, TermsRow
from siskindale.membership.assignment import CONTROLLERS
from siskindale.models.bundle import Bundle, Group, Target


def run(
    tables: Tables,
    bundle: Bundle,
    ranks: Mapping[str, tuple[str, ...]],
    inboxes: Mapping[str, str],
    now: float,
) -> None:
    """Brings the rows in line with the bundle and the ranks of VMs by group."""
    tables.durations = bundle.durations
    for group in bundle.groups:
        controllers = ranks[group.name][:CONTROLLERS]
        if tables.vm in controllers:
            others = (vm for vm in controllers if vm != tables.vm and vm in inboxes)
            peers = tuple(Peer(vm, inboxes[vm]) for vm in others)
            _keep(tables, group, controllers.index(tables.vm), peers, now)
            tables.groups[group.name].pools = ranks[group.name][: bundle.pools_per_group]
        else:
            _drop(tables, group.name)
    for name in set(tables.groups) - {group.name for group in bundle.groups}:
        _drop(tables, name)


def _keep(tables: Tables, group: Group, rank: int, peers: tuple[Peer, ...], now: float) -> None:
    row = tables.groups.get(group.name)
    if row is None:
        row = tables.groups[group.name] = GroupRow(group, rank, peers, now, top_term_at=now)
    row.group, row.rank, row.peers = group, rank, peers
    row.targets = {t.name: _target(group.name, row.targets.get(t.name), t) for t in group.targets}
    tables.terms.setdefault(group.name, TermsRow(group.name))


def _target(group: str, row: TargetRow | None, target: Target) -> TargetRow:
    if row is None or row.target.control != target.control:
        return TargetRow(group, target)
    row.target = target
    return row


def _drop(tables: Tables, name: str) -> None:
    # A promotion in progress is finished first; reserved terms are kept for a later assignment.
    if name not in tables.promotions:
        tables.groups.pop(name, None)
