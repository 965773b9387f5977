"""Definition of a bundle: the configuration that operators control."""

import enum

import attrs

from siskindale.models.address import Address


class TargetState(enum.StrEnum):
    """Membership state of a target in its group."""

    ACTIVE = "active"
    JOINING = "joining"
    LEAVING = "leaving"


class RepeatPolicy(enum.StrEnum):
    """Whether a write of a statement class may run more than once."""

    ALLOWED = "allowed"
    FORBIDDEN = "forbidden"


@attrs.frozen
class Target:
    """One database instance of a group.

    Statements go to the `data` address, administrative requests to `control`.
    """

    name: str
    failure_domain: str
    data: Address
    control: Address
    state: TargetState = TargetState.ACTIVE
    slots: int = 2
    connections: int = 16
    connect_ms: int = 10


@attrs.frozen
class Group:
    """Group of targets that serve one database; `name` is the database name that callers use."""

    name: str
    targets: tuple[Target, ...]

    @property
    def voters(self) -> tuple[str, ...]:
        """Names of the targets that count for a majority: all except those that are leaving."""
        return tuple(t.name for t in self.targets if t.state is not TargetState.LEAVING)

    def target(self, name: str) -> Target | None:
        """Returns the target with this name, or None."""
        return next((t for t in self.targets if t.name == name), None)


@attrs.frozen
class StatementClass:
    """Class of statements; earlier classes of a bundle have priority over later ones.

    `min_share` is the share of the slots that the class gets under overload, whatever its priority.
    `max_age_ms` is the maximum age of data that its reads accept, 0 for strict reads.
    `key_retention_s` is how long a repeated idempotency key returns the first result.
    """

    name: str
    repeat: RepeatPolicy = RepeatPolicy.ALLOWED
    max_age_ms: int = 0
    min_share: float = 0.05
    queue_limit: int = 200
    key_retention_s: int = 86_400


@attrs.frozen
class ReadRule:
    """Overrides the maximum age of data of a statement class for one caller."""

    caller: str
    statement_class: str
    max_age_ms: int


@attrs.frozen
class Caller:
    """Caller with its permissions and limits; `token_sha256` is the hash of its bearer token."""

    name: str
    token_sha256: str
    databases: tuple[str, ...]
    classes: tuple[str, ...]
    max_in_flight: int = 100


@attrs.frozen
class Durations:
    """Intervals and time limits in milliseconds."""

    probe_interval_ms: int = 150
    probe_timeout_ms: int = 500
    loss_after_ms: int = 750
    rank_delay_ms: int = 300
    promotion_interval_ms: int = 5_000
    sample_interval_ms: int = 50
    head_poll_ms: int = 2_000
    head_confirmation_limit_ms: int = 5_000
    transaction_limit_ms: int = 30_000
    idle_transaction_ms: int = 5_000


@attrs.frozen
class Bundle:
    """One version of the configuration that operators control.

    `previous` is the SHA-256 of the bundle that this one replaces, empty for version 1.
    """

    version: int
    groups: tuple[Group, ...]
    classes: tuple[StatementClass, ...]
    callers: tuple[Caller, ...]
    read_rules: tuple[ReadRule, ...] = ()
    pools_per_group: int = 2
    retry_budget: float = 0.1
    durations: Durations = Durations()
    previous: str = ""

    def group(self, name: str) -> Group | None:
        """Returns the group with this name, or None."""
        return next((g for g in self.groups if g.name == name), None)

    def statement_class(self, name: str) -> StatementClass | None:
        """Returns the statement class with this name, or None."""
        return next((c for c in self.classes if c.name == name), None)

    def effective_max_age_ms(self, caller: str, class_name: str) -> int:
        """Returns the maximum age of data in milliseconds that a read of this caller accepts."""
        rule = next(
            (
                r.max_age_ms
                for r in self.read_rules
                if (r.caller, r.statement_class) == (caller, class_name)
            ),
            None,
        )
        if rule is not None:
            return rule
        found = self.statement_class(class_name)
        return found.max_age_ms if found else 0


@attrs.frozen
class Signature:
    """Ed25519 signature in hexadecimal over the SHA-256 digest of the bundle's canonical bytes."""

    signer: str
    signature: str


@attrs.frozen
class SignedBundle:
    """Bundle with its signatures, as stored in the object store."""

    bundle: Bundle
    signatures: tuple[Signature, ...] = ()
