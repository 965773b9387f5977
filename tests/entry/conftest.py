"""Fixtures for the tests of the entry."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from tests.entry.harness import Client, Deployment


@pytest.fixture
def deploy() -> Iterator[Callable[..., Deployment]]:
    """Function that starts a deployment; the options are those of `Deployment`."""
    started: list[Deployment] = []

    def start(**options: Any) -> Deployment:
        started.append(Deployment(**options))
        return started[-1]

    yield start
    for deployment in started:
        deployment.close()


@pytest.fixture
def deployment(deploy: Callable[..., Deployment]) -> Deployment:
    """A running entry with three pools."""
    return deploy()


@pytest.fixture
def client(deployment: Deployment) -> Client:
    """A client of the running entry."""
    return deployment.client()
