"""Databases available to clients, the groups that serve them and the targets of the groups."""

import enum
from collections.abc import Mapping

import attrs

from siskindale.models.address import Address
from siskindale.models.group import Role


class Consistency(enum.Enum):
    """Commits that a read of a database must see.

    `LATEST`: every acknowledged commit. `BOUNDED`: every commit older than the maximum staleness.
    `SESSION`: the same as `BOUNDED`, and every commit of the same session.
    """

    LATEST = "latest"
    BOUNDED = "bounded"
    SESSION = "session"


@attrs.frozen
class Route:
    """How statements for one database are served; priority 0 is the highest.

    `timeout_s` limits one statement, `objective_s` is the latency objective of an operation.
    An `anonymous` route needs no key.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    objective_s: float
    priority: int
    max_staleness_s: float = 0.0
    anonymous: bool = False


@attrs.frozen
class Workspace:
    """A customer, its keys and its quota, which counts the operations of all VMs together.

    Without a rate, its operations are not limited. `burst` operations may exceed the rate.
    """

    name: str
    keys: frozenset[str]
    priority: int = 0
    rate_per_s: float | None = None
    burst: float = 0.0


@attrs.frozen
class GroupLimits:
    """Limits that apply to each target of a group."""

    max_connections: int
    synchronous_replicas: int = 0


@attrs.frozen
class Catalog:
    """One version of all routes, groups and workspaces; the keys of `routes` are database names.

    `workspaces` are by name, and None in a deployment that does not tell its callers apart.
    `problems` tells which entries were ignored because they are invalid.
    """

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupLimits]
    transaction_idle_s: float = 3.0
    workspaces: Mapping[str, Workspace] | None = None
    problems: tuple[str, ...] = ()
    workspaces_by_key: Mapping[str, Workspace] = attrs.field(init=False, repr=False)

    @workspaces_by_key.default
    def _index_keys(self) -> Mapping[str, Workspace]:
        workspaces = (self.workspaces or {}).values()
        return {key: workspace for workspace in workspaces for key in workspace.keys}


class RegistrationState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class TargetRegistration:
    """Registration that a target publishes; `started_ms` distinguishes its restarts."""

    id: str
    group: str
    address: Address
    failure_domain: str
    slots: int
    state: RegistrationState
    role: Role
    started_ms: int
    sequence: int
