"""Databases that clients may use, the groups that serve them and the targets of the groups."""

import enum
from collections.abc import Mapping

import attrs

from siskindale.models.address import Address
from siskindale.models.group import Role


class Consistency(enum.Enum):
    """What a read of a database must see.

    `LATEST`: each acknowledged commit. `BOUNDED`: each commit older than the accepted staleness.
    `SESSION`: those, and each commit of the same session.
    """

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


@attrs.frozen
class Route:
    """How statements for one database are served; priority 0 is the highest.

    `timeout_s` bounds one statement, `objective_s` is the wanted latency of an operation.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    objective_s: float
    priority: int
    max_staleness_s: float = 0.0


@attrs.frozen
class GroupLimits:
    """Limits of each target of a group."""

    max_connections: int
    synchronous_replicas: int = 0


@attrs.frozen
class Catalog:
    """A version of all routes and groups; routes are found by database."""

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupLimits]
    transaction_idle_s: float = 3.0


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class TargetEntry:
    """What a target says of itself; `started_ms` tells its starts apart."""

    id: str
    group: str
    address: Address
    failure_domain: str
    slots: int
    state: TargetState
    role: Role
    started_ms: int
    sequence: int
