"""Definition of an experiment: deployment, workload and fault schedule, read from JSON."""

from pathlib import Path
from typing import Any

import attrs
from returns.result import Result

from siskindale.config.findings import Finding
from siskindale.config.loader import load_file


@attrs.frozen
class DeploymentPlan:
    """Targets and VMs; delays and lags are in milliseconds.

    `spare_connections` are accepted by the targets beyond those that the bundle names, for
    connections past the proxy. `domains` are the failure domains; targets and VMs are distributed
    over them in turn.
    """

    name: str = "rodopi"
    domains: tuple[str, ...] = ("smolyan", "chepelare", "devin")
    databases: tuple[str, ...] = ("caves", "surveys", "finds")
    targets_per_database: int = 3
    vms: int = 3
    slots: int = 2
    connections: int = 16
    connect_ms: int = 10
    spare_connections: int = 0
    network_ms: float = 0.0
    ship_lag_ms: float = 5.0
    apply_lag_ms: float = 10.0
    durations: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Mix:
    """Relative shares of the kinds of operations.

    `browse` accepts old data, `strict` does not, `large` has many rows, `write` may be repeated,
    `keyed` must not, `transaction` updates two registers.
    """

    browse: float = 60.0
    strict: float = 10.0
    large: float = 1.0
    write: float = 12.0
    keyed: float = 10.0
    transaction: float = 7.0


@attrs.frozen
class Workload:
    """Load on all entries together.

    Operations start as a Poisson process of `rate` per second, each in an idle session of a random
    database. A session changes the entry with probability `roaming` before each operation.
    `cost_ms` keeps a slot of the target for each statement. `resend` is the part of acknowledged
    keyed writes that is sent again with the same key, `hasty` the part of the writes that has a
    deadline of `hasty_ms`.
    """

    seconds: float = 10.0
    rate: float = 100.0
    sessions: int = 200
    mix: Mix = Mix()
    roaming: float = 0.3
    rollback: float = 0.1
    deadline_ms: int = 4000
    keyed_attempts: int = 4
    resend: float = 0.1
    hasty: float = 0.05
    hasty_ms: int = 5
    cost_ms: float = 0.0
    registers: int = 20
    large_rows: int = 500
    seed: int = 1


@attrs.frozen
class Fault:
    """Action at `at_s` seconds after the start of the load; `options` depend on the action."""

    at_s: float
    action: str
    options: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Experiment:
    """One run of a workload on a fresh deployment."""

    deployment: DeploymentPlan = DeploymentPlan()
    workload: Workload = Workload()
    faults: tuple[Fault, ...] = ()


def load_experiment(path: Path) -> Result[Experiment, tuple[Finding, ...]]:
    """Loads an experiment; fails with every finding."""
    return load_file(path, Experiment)
