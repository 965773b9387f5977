"""Messages between the VM of a client and the owner of the connections to its group."""

import attrs

from siskindale.models.catalog import Route
from siskindale.models.group import LogPosition
from siskindale.models.messages import message
from siskindale.models.statements import PreparedStatement, Reply, Statement

# An owner ends a statement this long before its deadline, so that its refusal arrives in time.
REPLY_RESERVE_S = 0.02


@attrs.frozen
class SessionSnapshot:
    """State of a client's session that a statement depends on.

    `position` is the position of the session's last commit.
    """

    values: dict[bytes, bytes]
    prepared: dict[bytes, PreparedStatement]
    position: LogPosition | None


@message("forward-statement")
@attrs.frozen
class ForwardedStatement:
    """A statement outside a transaction, which arrived at the sender `elapsed_s` ago.

    The sender has checked the key of its client, which belongs to `workspace`.
    """

    statement: Statement
    route: Route
    session: SessionSnapshot
    elapsed_s: float
    workspace: str = ""


@message("forward-begin")
@attrs.frozen
class ForwardedBegin:
    """Begins a transaction of `workspace`, for which the sender uses `handle` on this link."""

    handle: int
    read_only: bool
    route: Route
    session: SessionSnapshot
    request_id: bytes
    workspace: str = ""


@message("forward-step")
@attrs.frozen
class ForwardedStep:
    """A statement of a transaction, or its commit."""

    handle: int
    statement: Statement
    session: SessionSnapshot


@message("forward-end")
@attrs.frozen
class ForwardedEnd:
    """Ends a transaction; the owner rolls it back unless it was committed."""

    handle: int


@message("forward-reply")
@attrs.frozen
class ForwardedReply:
    """Reply to a statement, with the owner's name."""

    reply: Reply
    owner: str


@message("link-probe")
@attrs.frozen
class LinkProbe:
    """Asks whether the owner still runs; it answers with the same message."""


@message("forwarding-declined")
@attrs.frozen
class ForwardingDeclined:
    """The receiver has no connections to the group's targets; it has not run the statement."""
