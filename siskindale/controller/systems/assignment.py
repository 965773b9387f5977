"""Selects the groups that this VM controls: those that rank it among their first three VMs."""

from collections.abc import Mapping

from siskindale.controller.tables import GroupRow, Peer, Tables, TargetRow, TermsRow
from siskindale.membership.assignment import CONTROLLERS_PER_GROUP
from siskindale.models.bundle import Bundle, Group, Target


def update_groups(
    tables: Tables,
    bundle: Bundle,
    ranks: Mapping[str, tuple[str, ...]],
    inbox_urls: Mapping[str, str],
    now: float,
) -> None:
    """Updates the controlled groups from the bundle and the VMs ranked by group."""
    tables.durations = bundle.durations
    for group in bundle.groups:
        controllers = ranks[group.name][:CONTROLLERS_PER_GROUP]
        if tables.vm in controllers:
            others = (vm for vm in controllers if vm != tables.vm and vm in inbox_urls)
            peers = tuple(Peer(vm, inbox_urls[vm]) for vm in others)
            _add_or_update_group(tables, group, controllers.index(tables.vm), peers, now)
            tables.groups[group.name].pools = ranks[group.name][: bundle.pools_per_group]
        else:
            _remove_group(tables, group.name)
    for name in set(tables.groups) - {group.name for group in bundle.groups}:
        _remove_group(tables, name)


def _add_or_update_group(
    tables: Tables, group: Group, rank: int, peers: tuple[Peer, ...], now: float
) -> None:
    row = tables.groups.get(group.name)
    if row is None:
        row = tables.groups[group.name] = GroupRow(group, rank, peers, now, highest_term_at=now)
    row.group, row.rank, row.peers = group, rank, peers
    row.targets = {
        t.name: _target_row(group.name, row.targets.get(t.name), t) for t in group.targets
    }
    tables.terms.setdefault(group.name, TermsRow(group.name))


def _target_row(group: str, row: TargetRow | None, target: Target) -> TargetRow:
    if row is None or row.target.control != target.control:
        return TargetRow(group, target)
    row.target = target
    return row


def _remove_group(tables: Tables, name: str) -> None:
    # A promotion in progress completes first; reserved terms are kept in case the group returns.
    if name not in tables.promotions:
        tables.groups.pop(name, None)
