"""Members of a fleet of session proxies, and the datagrams by which they know of each other."""

import enum
from typing import Annotated

import attrs
import msgspec

from siskindale.models.address import Address
from siskindale.models.messages import message

# More processors than any VM has.
MAX_CAPACITY = 1e6


class MemberState(enum.IntEnum):
    """State of a member; of two facts of one incarnation, the one with the higher state holds."""

    ALIVE = 0
    DRAINING = 1
    SUSPECT = 2
    GONE = 3


@attrs.frozen
class MemberFact:
    """What is known of a VM.

    `peers` is its address for messages and datagrams, `forwarding` the one for statements that
    other VMs forward to it. `capacity` is its share of processors, in cores. `boot` is a random id
    of its current run. Only the VM itself increases `incarnation`, to refute what others say of it.
    """

    vm: str
    failure_domain: str
    peers: Address
    forwarding: Address
    capacity: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_CAPACITY)]
    boot: str
    incarnation: int
    state: MemberState = MemberState.ALIVE


@message("member-ping")
@attrs.frozen
class MemberPing:
    """Asks whether a VM is alive, and carries updates.

    `digest` is a hash of all facts that the sender knows. `wants_all` asks for all facts of the
    receiver.
    """

    facts: tuple[MemberFact, ...]
    digest: int
    catalog_version: int
    wants_all: bool = False


@message("member-ping-answer")
@attrs.frozen
class MemberPingAnswer:
    """Answers a `MemberPing`; the correlation id is that of the question."""

    facts: tuple[MemberFact, ...]
    digest: int
    catalog_version: int


@message("member-indirect-ping")
@attrs.frozen
class MemberIndirectPing:
    """Asks the receiver to ping a VM that did not answer the sender."""

    address: Address


@message("member-facts")
@attrs.frozen
class MemberFacts:
    """Facts that are new to the sender, or a part of all that it knows."""

    facts: tuple[MemberFact, ...]
