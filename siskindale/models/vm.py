"""Settings of a VM that runs the session proxy."""

import attrs

from siskindale.models.address import Address


@attrs.frozen
class ProxySettings:
    """Settings that the session proxy of one VM reads at start-up.

    `forwarding` is the address for statements that other VMs forward. `seeds` are addresses of a
    few peers, which may be outdated. `processor_share` of each of `cores` processors is available.
    A new catalog must be in effect `catalog_apply_s` after the operator has set it. `drain_s` is
    how long a target serves after it was reported as leaving, `grace_s` the time between SIGTERM
    and SIGKILL. A key that a catalog has taken away may be used for `revoke_s`, with
    `strict_revoke` also by a VM that has not heard of it. In each `quota_window_s` a workspace may
    exceed its quota by the share `quota_overage` and by `quota_slack` operations.
    """

    vm: str
    failure_domain: str
    clients: Address
    readiness: Address
    peers: Address
    store: Address
    promotions: Address
    forwarding: Address
    seeds: tuple[Address, ...] = ()
    drain_s: float = 7.0
    grace_s: float = 6.0
    metrics_port: int = 9464
    log_level: str = "info"
    catalog_apply_s: float = 3.0
    processor_share: float = 1.0
    cores: int = 1
    strict_revoke: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0

    @property
    def capacity(self) -> float:
        """Processors that are available, in cores."""
        return self.processor_share * self.cores


# Fields whose changes take effect without a restart.
RELOADABLE = frozenset({"seeds", "drain_s", "grace_s"})


def changed_fields(old: ProxySettings, new: ProxySettings) -> set[str]:
    """Returns the names of the fields that differ."""
    names = (field.name for field in attrs.fields(ProxySettings))
    return {name for name in names if getattr(old, name) != getattr(new, name)}
