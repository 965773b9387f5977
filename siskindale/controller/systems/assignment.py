"""Which groups this VM controls: those for which it is among the first three of the rank."""

from collections.abc import Sequence

from siskindale.controller.tables import GroupRow, Peer, Tables, TargetRow, TermsRow
from siskindale.membership.directory import Member
from siskindale.membership.rendezvous import rank
from siskindale.models.bundle import Bundle, Group, Target

CONTROLLERS = 3


def run(tables: Tables, bundle: Bundle, members: Sequence[Member], now: float) -> None:
    """Brings the rows in line with the bundle and the directory."""
    tables.durations = bundle.durations
    for group in bundle.groups:
        controllers = rank(group.name, members)[:CONTROLLERS]
        names = [m.vm for m in controllers]
        if tables.vm in names:
            peers = tuple(Peer(m.vm, m.controller.inbox_url) for m in controllers)
            others = tuple(p for p in peers if p.vm != tables.vm)
            _keep(tables, group, names.index(tables.vm), others, now)
        else:
            _drop(tables, group.name)
    for name in set(tables.groups) - {g.name for g in bundle.groups}:
        _drop(tables, name)


def _keep(tables: Tables, group: Group, position: int, peers: tuple[Peer, ...], now: float) -> None:
    row = tables.groups.get(group.name)
    if row is None:
        row = tables.groups[group.name] = GroupRow(group, position, peers, now, top_term_at=now)
    row.group, row.rank, row.peers = group, position, peers
    before = row.targets
    row.targets = {t.name: _target(group.name, before, t) for t in group.targets}
    tables.terms.setdefault(group.name, TermsRow(group.name))


def _target(group: str, before: dict[str, TargetRow], target: Target) -> TargetRow:
    row = before.get(target.name)
    if row is None or row.target.control != target.control:
        return TargetRow(group, target)
    row.target = target
    return row


def _drop(tables: Tables, name: str) -> None:
    # A promotion in progress is finished first; reserved terms are kept for a later assignment.
    if name not in tables.promotions:
        tables.groups.pop(name, None)
