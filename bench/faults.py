"""Fault injection: a registry of actions, the injector that runs them, and random schedules."""

import contextlib
import signal
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import attrs
import gevent

from bench.callers import Callers
from bench.cluster import PROGRAMS, Cluster
from bench.deployment import GroupStandin
from bench.experiment import DeploymentPlan, Fault, Workload
from bench.history import Event, FaultEvent
from siskindale.models.bundle import TargetState
from siskindale.registry import Registry

Options = dict[str, Any]
Action = Callable[["Injector", Options], dict[str, Any]]
ACTIONS: Registry[Action] = Registry("fault action")

# Cost of the requests in flight when a VM is stopped; each occupies one of a target's two slots.
SLOW_STATEMENT_MS = 200.0
HEAL_ATTEMPTS = 3
# Time without faults at the end of a random schedule.
FAULT_FREE_END_S = 4.0
SLOW_REQUEST_KINDS = ("strict", "write", "keyed", "browse", "strict", "write")


class Injector:
    """Runs the faults of a schedule and records them."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.fault_events: list[FaultEvent] = []
        self.exit_statuses: dict[str, int | None] = {}
        self.events: list[Event] = []
        self._load_count = 0

    def run(self, faults: tuple[Fault, ...], start_at: float) -> None:
        """Runs the faults at their times; those of equal time run together."""
        greenlets = [gevent.spawn(self._apply_at, start_at + fault.at_s, fault) for fault in faults]
        gevent.joinall(greenlets, raise_error=True)

    def apply(self, action: str, options: Options) -> None:
        """Runs one action now and records it, as failed if the stand-in does not respond."""
        at = time.monotonic()
        try:
            details = ACTIONS.get(action)(self, options)
        except ConnectionError as error:
            details = {"failed": str(error)}
        self.fault_events.append(FaultEvent(details.pop("at", at), action, options, details))

    def heal(self) -> None:
        """Ends all faults that are in effect, so that the final state can be read."""
        cluster = self.cluster
        cluster.platform.set_faults(
            delay_ms=0, down=False, lose_next_answers=0, cut_from=[], cut_mode="drop"
        )
        for process in cluster.processes.all:
            process.signal(signal.SIGCONT)
        for group in cluster.groups.values():
            for target in group.group.targets:
                self._heal_target(group, target.name)

    def _heal_target(self, group: GroupStandin, name: str) -> None:
        """Heals a target; retries, since a scheduled fault may hit it at the same time."""
        for _ in range(HEAL_ATTEMPTS):
            group.process(name).signal(signal.SIGCONT)
            self.restart_if_killed(group, name)
            with contextlib.suppress(ConnectionError, TimeoutError):
                group.processes.wait_accepting(name, group.target(name).control)
                group.set_faults(
                    name,
                    delay_ms=0,
                    lose_next_answers=0,
                    cut_from=[],
                    cut_mode="drop",
                    ship_lag_ms=self.cluster.plan.ship_lag_ms,
                    apply_lag_ms=self.cluster.plan.apply_lag_ms,
                )
                return
        raise RuntimeError(f"target {name} does not respond after {HEAL_ATTEMPTS} attempts")

    def group_of(self, options: Options) -> GroupStandin:
        """Returns the group of the `database` option."""
        return self.cluster.groups[options["database"]]

    def target_of(self, options: Options) -> str:
        """Returns the `target` option, or the name of the target with `role` in `database`."""
        if "target" in options:
            return options["target"]
        group = self.group_of(options).group
        primary_status = self.cluster.primary(options["database"])
        primary_name = primary_status.name if primary_status else group.targets[0].name
        if options.get("role", "primary") == "primary":
            return primary_name
        return next(t.name for t in reversed(group.targets) if t.name != primary_name)

    def is_primary(self, options: Options, name: str) -> bool:
        """Whether the target is currently the primary of the database."""
        primary = self.cluster.primary(options["database"])
        return primary is not None and primary.name == name

    def restart_if_killed(self, group: GroupStandin, name: str) -> None:
        """Restarts a target if it was killed."""
        if not group.process(name).running:
            group.restart(name)

    def start_slow_requests(self, vm: str) -> list[gevent.Greenlet]:
        """Starts slow requests at the entry of a VM, so that some are in flight when it stops."""
        access = self.cluster.access()
        single_entry = attrs.evolve(access, entries={vm: access.entries[vm]})
        workload = Workload(cost_ms=SLOW_STATEMENT_MS, hasty=0.0, resend=0.0)
        self._load_count += 1
        callers = Callers(
            single_entry,
            workload,
            Random(self._load_count),
            self.events.append,
            f"slow{self._load_count}-",
        )
        return [
            gevent.spawn(callers.run, kind, callers.new_session(number), time.monotonic())
            for number, kind in enumerate(SLOW_REQUEST_KINDS)
        ]

    def _apply_at(self, due_at: float, fault: Fault) -> None:
        gevent.sleep(max(due_at - time.monotonic(), 0.0))
        self.apply(fault.action, fault.options)


def _primary_loss_details(injector: Injector, options: Options, name: str) -> dict[str, Any]:
    was_primary = injector.is_primary(options, name)
    return {"target": name, "lost_primary": was_primary, "database": options["database"]}


@ACTIONS.register("kill")
def kill(injector: Injector, options: Options) -> dict[str, Any]:
    """Kills a target."""
    name = injector.target_of(options)
    loss_details = _primary_loss_details(injector, options, name)
    at = time.monotonic()
    injector.group_of(options).process(name).kill()
    return {**loss_details, "at": at}


@ACTIONS.register("restart")
def restart(injector: Injector, options: Options) -> dict[str, Any]:
    """Restarts the killed targets of a database."""
    group = injector.group_of(options)
    for target in group.group.targets:
        injector.restart_if_killed(group, target.name)
    return {}


@ACTIONS.register("pause")
def pause(injector: Injector, options: Options) -> dict[str, Any]:
    """Suspends a target with SIGSTOP for `seconds`."""
    name = injector.target_of(options)
    loss_details = _primary_loss_details(injector, options, name)
    process = injector.group_of(options).process(name)
    at = time.monotonic()
    process.signal(signal.SIGSTOP)
    gevent.spawn_later(float(options.get("seconds", 3)), process.signal, signal.SIGCONT)
    return {**loss_details, "at": at}


@ACTIONS.register("pause-program")
def pause_program(injector: Injector, options: Options) -> dict[str, Any]:
    """Suspends a program of a VM with SIGSTOP for `seconds`."""
    process = injector.cluster.processes.get(f"{options['vm']}-{options['program']}")
    process.signal(signal.SIGSTOP)
    gevent.spawn_later(float(options.get("seconds", 3)), process.signal, signal.SIGCONT)
    return {}


@ACTIONS.register("isolate")
def isolate(injector: Injector, options: Options) -> dict[str, Any]:
    """Cuts a target off from the clients in `from`, by default targets and controllers."""
    name = injector.target_of(options)
    loss_details = _primary_loss_details(injector, options, name)
    group = injector.group_of(options)
    at = time.monotonic()
    group.set_faults(
        name,
        cut_from=options.get("from", ["targets", "controllers"]),
        cut_mode=options.get("mode", "hang"),
    )
    return {**loss_details, "at": at}


@ACTIONS.register("target-faults")
def target_faults(injector: Injector, options: Options) -> dict[str, Any]:
    """Sets the faults in `set` on a target."""
    name = injector.target_of(options)
    injector.group_of(options).set_faults(name, **options["set"])
    return {"target": name}


@ACTIONS.register("heal")
def heal(injector: Injector, options: Options) -> dict[str, Any]:
    """Ends all faults and restarts killed targets."""
    injector.heal()
    return {}


@ACTIONS.register("platform")
def platform(injector: Injector, options: Options) -> dict[str, Any]:
    """Sets faults of the platform."""
    return {"set": injector.cluster.platform.set_faults(**options)}


@ACTIONS.register("kill-program")
def kill_program(injector: Injector, options: Options) -> dict[str, Any]:
    """Kills a program of a VM and restarts it after `seconds`."""
    vm = injector.cluster.vms[options["vm"]]
    injector.cluster.processes.get(vm.process_name(options["program"])).kill()
    gevent.spawn_later(
        float(options.get("seconds", 2)),
        injector.cluster.start_program,
        vm,
        options["program"],
    )
    return {}


@ACTIONS.register("terminate")
def terminate(injector: Injector, options: Options) -> dict[str, Any]:
    """Sends SIGTERM to the programs of a VM under load and waits until they have ended."""
    slow_requests = injector.start_slow_requests(options["vm"])
    gevent.sleep(SLOW_STATEMENT_MS / 2000)
    at = time.monotonic()
    injector.exit_statuses.update(injector.cluster.stop_vm(options["vm"]))
    gevent.joinall(slow_requests)
    return {"vm": options["vm"], "at": at}


@ACTIONS.register("start-vm")
def start_vm(injector: Injector, options: Options) -> dict[str, Any]:
    """Restarts the programs of a VM."""
    injector.cluster.start_vm(options["vm"])
    return {}


@ACTIONS.register("leave")
def leave(injector: Injector, options: Options) -> dict[str, Any]:
    """Marks a target as leaving in the live list."""
    name = injector.target_of(options)
    at = time.monotonic()
    injector.cluster.leaving.add(name)
    injector.cluster.publish_live()
    return {"target": name, "database": options["database"], "at": at}


@ACTIONS.register("return")
def return_targets(injector: Injector, options: Options) -> dict[str, Any]:
    """Clears the leaving marks of all targets in the live list."""
    injector.cluster.leaving.clear()
    injector.cluster.publish_live()
    return {}


@ACTIONS.register("roll")
def roll(injector: Injector, options: Options) -> dict[str, Any]:
    """Rolls a new bundle; `leaving` marks a replica of that database as leaving."""
    cluster = injector.cluster
    bundle = attrs.evolve(cluster.bundle, version=cluster.bundle.version + 1)
    if "leaving" in options:
        database = options["leaving"]
        name = injector.target_of({"database": database, "role": "replica"})
        bundle = _with_leaving_target(bundle, name)
    cluster.bundle = cluster.operators.roll(bundle)
    return {"version": cluster.bundle.version, "at": time.monotonic()}


def _with_leaving_target(bundle: Any, name: str) -> Any:
    groups = tuple(
        attrs.evolve(
            group,
            targets=tuple(
                attrs.evolve(t, state=TargetState.LEAVING) if t.name == name else t
                for t in group.targets
            ),
        )
        for group in bundle.groups
    )
    return attrs.evolve(bundle, groups=groups)


def random_schedule(plan: DeploymentPlan, seconds: float, seed: int) -> Iterator[Fault]:
    """Returns a random schedule of faults, healed `FAULT_FREE_END_S` before the load ends.

    Faults overlap: the next one starts after 0.5 to 3 s, and most of them last longer.
    """
    random = Random(seed)
    at = 2.0
    while at < seconds - FAULT_FREE_END_S:
        yield _random_fault(plan, at, random)
        at += random.uniform(0.5, 3.0)
    yield Fault(seconds - FAULT_FREE_END_S, "heal")


def _random_fault(plan: DeploymentPlan, at: float, random: Random) -> Fault:
    """Draws a fault; primaries are hit most often, since their loss puts most promises at risk."""
    database = random.choice(plan.databases)
    target_options = {
        "database": database,
        "role": random.choice(["primary", "primary", "replica"]),
    }
    program_options = {"vm": f"vm{random.randint(1, plan.vms)}", "program": random.choice(PROGRAMS)}
    seconds = round(random.uniform(0.3, 5.0), 2)
    lag = {"apply_lag_ms": 500, "ship_lag_ms": 50}
    weighted_faults: list[tuple[int, str, Options]] = [
        (4, "kill", target_options),
        (4, "restart", {"database": database}),
        (3, "pause", {**target_options, "seconds": seconds}),
        (3, "isolate", target_options),
        (1, "isolate", {**target_options, "from": ["pools"]}),
        (1, "isolate", {**target_options, "mode": "drop"}),
        (2, "target-faults", {**target_options, "set": {"lose_next_answers": 3}}),
        (1, "target-faults", {**target_options, "set": lag}),
        (5, "heal", {}),
        (1, "platform", {"down": True}),
        (1, "platform", {"down": False, "delay_ms": 400}),
        (1, "platform", {"lose_next_answers": 2}),
        (2, "kill-program", {**program_options, "seconds": seconds}),
        (2, "pause-program", {**program_options, "seconds": seconds}),
    ]
    _, action, options = random.choices(
        weighted_faults, [weight for weight, _, _ in weighted_faults]
    )[0]
    return Fault(at, action, options)
