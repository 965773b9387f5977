"""Shared fixtures: stand-in processes on free ports, stopped after each test."""

import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import find, settings
from hypothesis.strategies import text

import siskindale.store.http
import siskindale.targets.http  # noqa: F401
from bench.deployment import GroupStandin, PlatformStandin, start_group, start_platform
from bench.processes import Processes
from siskindale.store.http import http_platform
from siskindale.store.interface import Platform
from siskindale.targets.http import HttpTargets

# Use the same examples in each run, so that CI is reproducible; `make fuzz` explores others.
settings.register_profile("fixed", derandomize=True, database=None)
settings.register_profile("explore", max_examples=1000, database=None)
settings.load_profile(os.environ.get("SISKINDALE_PROFILE", "fixed"))


@pytest.fixture(scope="session")
def unicode_tables() -> None:
    """Builds Hypothesis' Unicode tables, which takes 10 s or more in a fresh clone.

    If they were built during a test, Hypothesis would report slow data generation.
    """
    find(text(), lambda _: True)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Starts child processes and stops them after the test."""
    with Processes(tmp_path) as started:
        yield started


@pytest.fixture
def platform_standin(processes: Processes) -> PlatformStandin:
    """Running stand-in for the platform."""
    return start_platform(processes)


@pytest.fixture
def platform(platform_standin: PlatformStandin) -> Platform:
    """Services of the running platform, accessed through the HTTP driver."""
    return http_platform(platform_standin.settings("test"))


@pytest.fixture
def start_targets(processes: Processes, tmp_path: Path) -> Callable[..., GroupStandin]:
    """Returns a function that starts a group of targets; see `bench.deployment.start_group`."""

    def start(**options: Any) -> GroupStandin:
        return start_group(processes, tmp_path, **options)

    return start


@pytest.fixture
def group(start_targets: Callable[..., GroupStandin]) -> GroupStandin:
    """Running group of three targets with the primary `survey-a`."""
    return start_targets()


@pytest.fixture
def targets() -> HttpTargets:
    """HTTP driver for targets."""
    return HttpTargets("pools", "test")
