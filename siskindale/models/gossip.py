"""Messages between the session proxies of a deployment."""

from typing import Annotated, Any

import attrs
import msgspec

from siskindale.models.group import LogPosition
from siskindale.models.messages import message

# Longer than any target drains.
MAX_DRAIN_AGE_S = 86_400.0
# Peers tell finite numbers, so that no sum or comparison of theirs goes astray.
MAX_QUANTITY = 1e9
Quantity = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_QUANTITY)]


@attrs.frozen
class Loss:
    """A primary that the sender cannot reach; `refused` if its address refuses connections."""

    group: str
    target: str
    refused: bool


@attrs.frozen
class WorkspaceDemand:
    """Operations per second that a workspace asks for in a group, counted at its home."""

    group: str
    workspace: str
    per_s: Quantity


@attrs.frozen
class OwnerLoad:
    """Average number of statements that the sender runs at a target."""

    group: str
    target: str
    running: Quantity


@attrs.frozen
class HeldDuty:
    """A duty that the sender holds with a fencing token, by the key of its row in the store."""

    key: str
    fencing_token: int


@attrs.frozen
class DrainingTarget:
    """A target that the sender has known to drain for `age_s`.

    `started_ms` tells the runs of a target apart.
    """

    group: str
    target: str
    started_ms: int
    age_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DRAIN_AGE_S)]


@message("gossip")
@attrs.frozen
class Gossip:
    """State of a VM, sent periodically and immediately after a change.

    `targets_version` and `catalog_version` are the versions of the store's tables that it knows.
    `starved` lists the targets (by group and id) that have no connection left for the sender.
    `wants_answer` asks for the receiver's own state, of which the sender has not heard lately.
    `demands` are those of the workspaces for which the sender is the home. `loads` are what it runs
    at the targets whose connections it shares with other owners. `duties` are those that it holds.
    `draining_targets` are those whose drain period runs.
    """

    vm: str
    catalog_version: int
    targets_version: int
    losses: tuple[Loss, ...] = ()
    starved: tuple[tuple[str, str], ...] = ()
    draining: bool = False
    wants_answer: bool = False
    demands: tuple[WorkspaceDemand, ...] = ()
    loads: tuple[OwnerLoad, ...] = ()
    duties: tuple[HeldDuty, ...] = ()
    draining_targets: tuple[DrainingTarget, ...] = ()


@message("state-request")
@attrs.frozen
class StateRequest:
    """Asks for a `StateAnswer` if the store does not respond or a peer has newer state."""


@message("state-answer")
@attrs.frozen
class StateAnswer:
    """Contents of the store's tables that the sender knows."""

    catalog: dict[str, Any] | None
    targets: dict[str, dict[str, Any]]
    targets_version: int


@message("targets-notice")
@attrs.frozen
class TargetsNotice:
    """Registrations that were added, removed (None) or changed in state or role."""

    changes: dict[str, dict[str, Any] | None]


@message("sample-request")
@attrs.frozen
class SampleRequest:
    """Asks for the newest sample of the end of a group's log.

    Only an answer bounds the age: the sample is at most `age_s` older than the request.
    """

    group: str


@message("sample-answer")
@attrs.frozen
class SampleAnswer:
    """Newest sample of a group: the log position of its primary `age_s` seconds ago."""

    group: str
    position: LogPosition
    age_s: Quantity


@message("promotion-notice")
@attrs.frozen
class PromotionNotice:
    """Announces that the holder of the failover duty promotes `target` to primary.

    Sent before each call to the platform, so that no other VM takes the duty in the meantime, and
    again with `accepted` once the platform has accepted the promotion.
    """

    group: str
    target: str
    fencing_token: int
    accepted: bool


@message("preparation-notice")
@attrs.frozen
class PreparationNotice:
    """Announces that the holder of the failover duty prepares a promotion in a group.

    Repeated until the promotion is ordered, so that no other VM takes the duty in the meantime.
    """

    group: str
    fencing_token: int
