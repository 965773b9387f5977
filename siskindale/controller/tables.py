"""Rows that the controller's systems read and change; only the program's loop holds them."""

import enum

import attrs

from siskindale.models.bundle import Durations, Group, Target
from siskindale.models.group import LogPosition, TargetStatus


@attrs.frozen
class Peer:
    """Another controller of a group."""

    vm: str
    url: str


@attrs.define
class TargetRow:
    """What is known of a target.

    `answered_at` is the send time of the newest good request. `heard_at` is the last time the
    target is known to have heard its primary, or the time its term was first seen.
    """

    group: str
    target: Target
    status: TargetStatus | None = None
    answered_at: float = float("-inf")
    heard_at: float = float("-inf")
    probe_at: float = 0.0
    probing: bool = False
    stray_since: float | None = None
    follow_at: float = 0.0


@attrs.define
class Sight:
    """What another controller said of the primary of `term`; `lost` is None without an answer."""

    asked_at: float
    term: int = 0
    lost: bool | None = None
    answered_at: float = float("-inf")


@attrs.define
class GroupRow:
    """A group of which this VM is a controller, by rank among `peers` and itself.

    `top_term` is the highest term seen, since `top_term_at`. `committed` is the newest marker that
    was seen to be held by majorities of both its voter sets. `attempts` are the times of
    promotions, own and observed. `pool_reports` holds, by VM, the term and time at which a pool
    reported that it does not reach the primary.
    """

    group: Group
    rank: int
    peers: tuple[Peer, ...]
    created_at: float
    targets: dict[str, TargetRow] = attrs.field(factory=dict)
    top_term: int = 0
    top_term_at: float = 0.0
    committed: LogPosition = LogPosition()
    attempts: list[float] = attrs.field(factory=list)
    lost_since: float | None = None
    asking_since: float = 0.0
    ask_at: float = 0.0
    sights: dict[str, Sight] = attrs.field(factory=dict)
    needed_since: float | None = None
    reported: str = ""
    pools: tuple[str, ...] = ()
    pool_reports: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.group.name

    @property
    def statuses(self) -> list[TargetStatus]:
        """Newest statuses of all targets that ever answered."""
        return [r.status for r in self.targets.values() if r.status is not None]


class ReservationStage(enum.Enum):
    """Stage of a reservation; `RESOLVING` reads whether a commit without an answer took effect."""

    IDLE = enum.auto()
    READING = enum.auto()
    COMMITTING = enum.auto()
    RESOLVING = enum.auto()


@attrs.define
class TermsRow:
    """Reserved terms of a group that no promotion has used, and a reservation in progress."""

    group: str
    terms: list[int] = attrs.field(factory=list)
    stage: ReservationStage = ReservationStage.IDLE
    busy: bool = False
    reservation: str = ""
    retry_at: float = 0.0


class Stage(enum.Enum):
    """Stage of a promotion."""

    FENCING = enum.auto()
    PROMOTING = enum.auto()
    CONFIRMING = enum.auto()


@attrs.define
class PromotionRow:
    """A promotion in progress.

    `voters` are the wanted voters of a planned change that is based on the marker `base`; without
    them the voters stay. `avoid` are targets that are fenced and promoted only if the others do
    not suffice; a primary that is `preferred` is waited for. `uncertain` are targets whose last
    answer does not tell their state.
    """

    group: str
    term: int
    reason: str
    started_at: float
    voters: tuple[str, ...] | None = None
    base: LogPosition = LogPosition()
    avoid: frozenset[str] = frozenset()
    preferred: str = ""
    stage: Stage = Stage.FENCING
    busy: set[str] = attrs.field(factory=set)
    uncertain: set[str] = attrs.field(factory=set)
    retry_at: dict[str, float] = attrs.field(factory=dict)
    fenced: dict[str, TargetStatus] = attrs.field(factory=dict)
    following: set[str] = attrs.field(factory=set)
    holders: set[str] = attrs.field(factory=set)
    chosen: str = ""
    new_voters: tuple[str, ...] = ()
    promoted: TargetStatus | None = None


@attrs.define
class Tables:
    """All rows of a controller; `awake_since` is when it last resumed after a pause."""

    vm: str
    durations: Durations = Durations()
    leaving: frozenset[str] = frozenset()
    draining: bool = False
    groups: dict[str, GroupRow] = attrs.field(factory=dict)
    terms: dict[str, TermsRow] = attrs.field(factory=dict)
    promotions: dict[str, PromotionRow] = attrs.field(factory=dict)
    ticked_at: float | None = None
    awake_since: float = float("-inf")
