"""Messages between the session proxies of a deployment."""

from typing import Any

import attrs

from siskindale.models.group import LogPosition
from siskindale.models.messages import message


@attrs.frozen
class Loss:
    """A primary that the sender does not reach; `refused` if its address refuses connections."""

    group: str
    target: str
    refused: bool


@message("gossip")
@attrs.frozen
class Gossip:
    """State of a VM, sent regularly and at once after a change.

    `targets_version` and `catalog_version` tell which versions of the store's tables it knows.
    `starved` are the targets (by group and id) that have no connection left for the sender.
    `wants_answer` asks for the receiver's own state, at the start of the sender.
    """

    vm: str
    catalog_version: int
    targets_version: int
    losses: tuple[Loss, ...] = ()
    starved: tuple[tuple[str, str], ...] = ()
    draining: bool = False
    wants_answer: bool = False
    known: tuple[str, ...] = ()


@message("state-request")
@attrs.frozen
class StateRequest:
    """Asks for a `StateAnswer`, where the store does not answer or a peer knows more."""


@message("state-answer")
@attrs.frozen
class StateAnswer:
    """Contents of the store's tables as the sender knows them."""

    catalog: dict[str, Any] | None
    targets: dict[str, dict[str, Any]]
    targets_version: int


@message("targets-notice")
@attrs.frozen
class TargetsNotice:
    """Registrations whose state, role or presence has changed; None stands for a missing one."""

    changes: dict[str, dict[str, Any] | None]


@message("sample-request")
@attrs.frozen
class SampleRequest:
    """Asks for the newest proof of where the log of a group ended.

    Only an answered request proves an age: the sample is at most `age_s` older than the request.
    """

    group: str


@message("sample-answer")
@attrs.frozen
class SampleAnswer:
    """Newest sample of a group: a log position that its primary had `age_s` ago."""

    group: str
    position: LogPosition
    age_s: float


@message("promotion-notice")
@attrs.frozen
class PromotionNotice:
    """The holder of the failover duty orders that `target` becomes the primary.

    It is sent before each call, so that others do not take the duty meanwhile, and again with
    `accepted` once the platform has accepted the order.
    """

    group: str
    target: str
    fencing_token: int
    accepted: bool
