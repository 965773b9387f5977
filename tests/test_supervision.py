"""Long-lived tasks that fail and go on."""

import ast
import importlib
import pkgutil
import types
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

import siskindale
from siskindale.runtime import supervision
from siskindale.runtime.supervision import (
    FAILURES,
    FAILURES_UNTIL_NOT_READY,
    TASKS,
    failing_tasks,
    long_lived,
    supervise,
)

SOURCES = Path(siskindale.__file__).parent
RESTART_TIMEOUT_S = 10.0


def load_all_modules() -> None:
    """Imports all modules of the package, which fills the registry."""
    for module in pkgutil.walk_packages(siskindale.__path__, "siskindale."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


load_all_modules()


class FailingOwner:
    """Object whose first use by a task raises; the second one ends the task."""

    def __init__(self) -> None:
        self.uses = 0

    def __getattr__(self, name: str) -> object:
        self.uses += 1
        if self.uses == 1:
            raise RuntimeError("injected")
        raise gevent.GreenletExit


@pytest.mark.parametrize("name", TASKS.names)
def test_a_task_that_raises_goes_on(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a program that serves on old knowledge since one of its tasks has ended."""
    wait = gevent.sleep
    monkeypatch.setattr(gevent, "sleep", lambda *_: wait(0))
    owner = FailingOwner()
    failures = FAILURES.labels(name).value
    supervise(types.MethodType(TASKS.get(name).function, owner)).join(RESTART_TIMEOUT_S)
    assert owner.uses == 2
    assert FAILURES.labels(name).value == failures + 1


def is_endless(function: ast.FunctionDef) -> bool:
    """Returns whether a function has a loop that nothing but an exception ends."""
    loops = (node for node in ast.walk(function) if isinstance(node, ast.While | ast.For))
    return any(
        ast.unparse(loop).startswith(("while True", "for count in itertools.count("))
        and not any(isinstance(node, ast.Return | ast.Break) for node in ast.walk(loop))
        for loop in loops
    )


def test_each_endless_loop_is_a_registered_task() -> None:
    """Guards against a new task that nothing starts again."""
    registered = {
        (Path(kind.function.__code__.co_filename), kind.function.__name__)
        for kind in map(TASKS.get, TASKS.names)
    }
    endless = {
        (path, node.name)
        for path in SOURCES.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef) and is_endless(node)
    }
    assert len(endless) > 20
    assert endless - registered == set()


class AlwaysFailing:
    """Owner of a vital task that fails each time."""

    @long_lived("test-always-failing", vital=True)
    def run(self) -> None:
        """Fails."""
        raise ValueError("broken")


@pytest.fixture
def failing_task(monkeypatch: pytest.MonkeyPatch) -> Iterator[gevent.Greenlet]:
    """A vital task that keeps failing."""
    monkeypatch.setattr(supervision, "RESTART_MIN_S", 0.001)
    greenlet = supervise(AlwaysFailing().run)
    yield greenlet
    greenlet.kill()


def test_a_vital_task_that_keeps_failing_is_reported(failing_task: gevent.Greenlet) -> None:
    """Guards against a VM that stays ready although it cannot follow what it needs."""
    before = FAILURES.labels("test-always-failing").value
    while FAILURES.labels("test-always-failing").value < before + FAILURES_UNTIL_NOT_READY:
        gevent.sleep(0.001)
    assert failing_tasks() == ("test-always-failing: ValueError('broken')",)
    failing_task.kill()
    assert failing_tasks() == ()
