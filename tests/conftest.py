"""Shared fixtures: stand-ins as processes on free ports, ended after each test."""

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

# The same examples on each run, so that CI gives the same verdict; `make fuzz` explores others.
settings.register_profile("fixed", derandomize=True, database=None)
settings.register_profile("explore", max_examples=1000, database=None)
settings.load_profile(os.environ.get("SISKINDALE_PROFILE", "fixed"))


@pytest.fixture(scope="session")
def unicode_tables() -> None:
    """Builds Hypothesis' tables of characters, which takes 10 s and more in a fresh clone.

    Within a test that time would count as slow generation of its examples.
    """
    find(text(), lambda _: True)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    """Starter of child processes."""
    with Processes(tmp_path) as started:
        yield started


@pytest.fixture
def platform_standin(processes: Processes) -> PlatformStandin:
    """A running platform."""
    return start_platform(processes)


@pytest.fixture
def platform(platform_standin: PlatformStandin) -> Platform:
    """Services of the running platform, through the product's driver."""
    return http_platform(platform_standin.settings("test"))


@pytest.fixture
def start_targets(processes: Processes, tmp_path: Path) -> Callable[..., GroupStandin]:
    """Function that starts a group of targets; see `bench.deployment.start_group`."""

    def start(**options: Any) -> GroupStandin:
        return start_group(processes, tmp_path, **options)

    return start


@pytest.fixture
def group(start_targets: Callable[..., GroupStandin]) -> GroupStandin:
    """A running group of three targets; its primary is `survey-a`."""
    return start_targets()


@pytest.fixture
def targets() -> HttpTargets:
    """Driver of targets."""
    return HttpTargets("pools", "test")
