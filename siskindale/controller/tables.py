"""In-memory state of the controller.

The systems are functions that read and change these rows; only the program owns them.
"""

import enum

import attrs

from siskindale.models.bundle import Durations, Group, Target
from siskindale.models.group import LogPosition, TargetStatus


@attrs.frozen
class Peer:
    """Another controller of a group; `url` is its inbox."""

    vm: str
    url: str


@attrs.define
class TargetRow:
    """State of a target.

    `status_requested_at` is when the request that returned `status` was sent. `primary_heard_at` is
    the last time at which the target is known to have heard its primary, or when its term was first
    seen. `not_following_since` is set while the target responds but does not follow the primary.
    """

    group: str
    target: Target
    status: TargetStatus | None = None
    status_requested_at: float = float("-inf")
    primary_heard_at: float = float("-inf")
    next_probe_at: float = 0.0
    probe_in_flight: bool = False
    not_following_since: float | None = None
    next_follow_at: float = 0.0


@attrs.define
class PeerAnswer:
    """Whether another controller lost the primary of `term`; `lost` is None before it answers."""

    asked_at: float
    term: int = 0
    lost: bool | None = None
    answered_at: float = float("-inf")


@attrs.define
class GroupRow:
    """A group that this VM controls.

    `rank` is this VM's rank among the group's controllers; `peers` are the others. `highest_term`
    is the highest term seen, first at `highest_term_at`. `committed_marker` is the newest marker
    that was seen on majorities of both its voter sets. `promotion_times` are the times of
    promotions, own and observed. `change_needed_since` is when a planned change of voters became
    necessary. `last_logged_reason` prevents repeated log entries. `pool_reports` holds, by VM, the
    term and time at which a pool reported that it does not reach the primary.
    """

    group: Group
    rank: int
    peers: tuple[Peer, ...]
    created_at: float
    targets: dict[str, TargetRow] = attrs.field(factory=dict)
    highest_term: int = 0
    highest_term_at: float = 0.0
    committed_marker: LogPosition = LogPosition()
    promotion_times: list[float] = attrs.field(factory=list)
    lost_since: float | None = None
    asking_since: float = 0.0
    next_ask_at: float = 0.0
    peer_answers: dict[str, PeerAnswer] = attrs.field(factory=dict)
    change_needed_since: float | None = None
    last_logged_reason: str = ""
    lack_of_terms_logged: bool = False
    pools: tuple[str, ...] = ()
    pool_reports: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """Name of the group."""
        return self.group.name

    @property
    def statuses(self) -> list[TargetStatus]:
        """Latest statuses of the targets that have answered at least once."""
        return [r.status for r in self.targets.values() if r.status is not None]


class ReservationStage(enum.Enum):
    """Stage of a reservation; `RESOLVING` reads whether an unanswered commit took effect."""

    IDLE = enum.auto()
    READING = enum.auto()
    COMMITTING = enum.auto()
    RESOLVING = enum.auto()


@attrs.define
class TermsRow:
    """Unused reserved terms of a group, and the reservation in progress."""

    group: str
    terms: list[int] = attrs.field(factory=list)
    stage: ReservationStage = ReservationStage.IDLE
    request_pending: bool = False
    reservation_id: str = ""
    retry_at: float = 0.0


class PromotionStage(enum.Enum):
    """Stage of a promotion."""

    FENCING = enum.auto()
    PROMOTING = enum.auto()
    CONFIRMING = enum.auto()


@attrs.define
class PromotionRow:
    """A promotion in progress.

    `voters` are the voters that a planned change asks for, starting from the marker `base_marker`;
    None keeps the present voters. `avoided` targets are fenced and promoted only if the others do
    not suffice. The promotion waits a short time for the `preferred_primary`. `in_flight` are the
    targets with a call in flight, `uncertain` those whose last call failed, so that their state is
    not known.
    """

    group: str
    term: int
    reason: str
    started_at: float
    voters: tuple[str, ...] | None = None
    base_marker: LogPosition = LogPosition()
    avoided: frozenset[str] = frozenset()
    preferred_primary: str = ""
    stage: PromotionStage = PromotionStage.FENCING
    in_flight: set[str] = attrs.field(factory=set)
    uncertain: set[str] = attrs.field(factory=set)
    retry_at: dict[str, float] = attrs.field(factory=dict)
    fenced: dict[str, TargetStatus] = attrs.field(factory=dict)
    following: set[str] = attrs.field(factory=set)
    marker_holders: set[str] = attrs.field(factory=set)
    chosen: str = ""
    new_voters: tuple[str, ...] = ()
    promoted: TargetStatus | None = None


@attrs.define
class Tables:
    """All state of a controller.

    `resumed_at` is when it started or last resumed after a pause. `store_era` is the era of the
    table service, 0 while it has not been restored during this run.
    """

    vm: str
    store_era: int = 0
    durations: Durations = Durations()
    leaving: frozenset[str] = frozenset()
    draining: bool = False
    groups: dict[str, GroupRow] = attrs.field(factory=dict)
    terms: dict[str, TermsRow] = attrs.field(factory=dict)
    promotions: dict[str, PromotionRow] = attrs.field(factory=dict)
    last_tick_at: float | None = None
    resumed_at: float = float("-inf")
