"""Long-lived tasks of a program, which go on after an uncaught exception.

A greenlet that ends by an exception leaves a program that serves on old knowledge. Each endless
loop is therefore registered by `long_lived` and started by `supervise`, which logs the failure,
counts it and starts the loop again.
"""

from collections.abc import Callable
from typing import TypeVar

import attrs
import gevent

from siskindale.registry import Registry
from siskindale.runtime.counters import Metric
from siskindale.runtime.logs import logger

RESTART_MIN_S = 0.05
RESTART_MAX_S = 2.0
# A task that has run for this long without a failure counts as sound again.
SOUND_AFTER_S = 10.0
# A vital task that fails this often in a row makes the program not ready.
FAILURES_UNTIL_NOT_READY = 3

FAILURES = Metric("siskindale_task_failures", "Uncaught exceptions of long-lived tasks", ("task",))

Function = TypeVar("Function", bound=Callable[..., None])


@attrs.frozen
class TaskKind:
    """A kind of long-lived task; without a `vital` one, the program cannot serve for long."""

    name: str
    function: Callable[..., None]
    vital: bool


TASKS: Registry[TaskKind] = Registry("long-lived task")
_KINDS: dict[Callable[..., None], TaskKind] = {}


def long_lived(name: str, *, vital: bool = False) -> Callable[[Function], Function]:
    """Registers a function or method as a long-lived task.

    Called again after a failure, it has to go on with what it knows, and must not meet the input
    again that it failed with.
    """

    def decorate(function: Function) -> Function:
        kind = _KINDS[function] = TaskKind(name, function, vital)
        TASKS.register(name)(kind)
        return function

    return decorate


@attrs.define(eq=False)
class _Task:
    kind: TaskKind
    failures: int = 0
    last_error: str = ""


_tasks: set[_Task] = set()


def supervise(run: Callable[[], None]) -> gevent.Greenlet:
    """Starts a registered task in a greenlet, which ends when the task returns or is killed."""
    return gevent.spawn(_run, _Task(_KINDS[getattr(run, "__func__", run)]), run)


def failing_tasks() -> tuple[str, ...]:
    """Returns the vital tasks of this process that keep failing, each with its last error."""
    return tuple(
        f"{task.kind.name}: {task.last_error}"
        for task in _tasks
        if task.kind.vital and task.failures >= FAILURES_UNTIL_NOT_READY
    )


def _run(task: _Task, run: Callable[[], None]) -> None:
    _tasks.add(task)
    try:
        while not _ended(task, run):
            gevent.sleep(min(RESTART_MAX_S, RESTART_MIN_S * 2 ** (task.failures - 1)))
    finally:
        _tasks.discard(task)


def _ended(task: _Task, run: Callable[[], None]) -> bool:
    """Runs a task; returns whether it has ended by itself, and not by a failure."""
    sound = gevent.spawn_later(SOUND_AFTER_S, setattr, task, "failures", 0)
    try:
        run()
    except Exception as error:
        task.failures += 1
        task.last_error = repr(error)
        FAILURES.labels(task.kind.name).inc()
        logger().exception("task-failed", task=task.kind.name, failures=task.failures)
        return False
    finally:
        sound.kill()
    return True
