"""Fixtures of the session proxy's tests: a group without connections, and a deployment."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import attrs
import pytest

from bench.processes import Processes
from bench.proxy_deployment import Deployment
from siskindale.models.address import Address
from siskindale.models.catalog import (
    Consistency,
    GroupLimits,
    RegistrationState,
    Route,
    TargetRegistration,
)
from siskindale.models.group import Role
from siskindale.proxy.tables import Group, Target


@pytest.fixture
def entry() -> TargetRegistration:
    """Registration of a ready replica."""
    return TargetRegistration(
        id="a",
        group="g",
        address=Address("127.0.0.1", 9),
        failure_domain="east",
        slots=2,
        state=RegistrationState.READY,
        role=Role.REPLICA,
        started_ms=1,
        sequence=1,
    )


@pytest.fixture
def group(entry: TargetRegistration) -> Group:
    """Group of the ready targets a (primary), b and c in different failure domains."""
    group = Group("g", GroupLimits(16))
    for name, domain, role in (
        ("a", "east", Role.PRIMARY),
        ("b", "west", Role.REPLICA),
        ("c", "north", Role.REPLICA),
    ):
        registered = attrs.evolve(entry, id=name, failure_domain=domain, role=role)
        group.targets[name] = Target(registered)
    group.leadership.primary_id = "a"
    return group


@pytest.fixture
def route() -> Callable[..., Route]:
    """Function that returns a route with the given fields replaced."""

    def build(**fields: Any) -> Route:
        default = Route(
            name="r",
            database="d",
            group="g",
            consistency=Consistency.BOUNDED,
            timeout_s=0.8,
            objective_s=0.2,
            priority=1,
            max_staleness_s=1.5,
        )
        return attrs.evolve(default, **fields)

    return build


@pytest.fixture
def deployment(processes: Processes, tmp_path: Path) -> Iterator[Deployment]:
    """The stand-in of the platform with one group of three targets."""
    deployment = Deployment(processes, tmp_path)
    yield deployment
    deployment.platform.server.stop()
    for group in deployment.groups.values():
        for target in group.targets.values():
            target.crash()
