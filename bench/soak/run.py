"""Runs a soak: starts the deployment, its callers and troubles, and records what is seen."""

import contextlib
import signal
import time
from pathlib import Path
from random import Random

import attrs
import gevent

from bench.processes import Processes, wait_until
from bench.proxy_deployment import WAIT_TIMEOUT_S, Deployment, Proxy
from bench.soak.checks import GRACE_S, RECOVERY_S, run_checks
from bench.soak.clients import Balancer, Caller
from bench.soak.history import Promotion, Record, VmEvent
from bench.soak.troubles import TROUBLES
from standins.deployment.group import TargetStandin

CALLERS = 16
WARM_UP_S = 2.0
# Callers go on after the last trouble, so that recovery can be judged.
CALM_S = RECOVERY_S + 3.0
MAX_TROUBLE_GAP_S = 2.5
SECOND_GROUP = "g2"


@attrs.frozen
class SoakPlan:
    """What a soak does; without `troubles` it only runs its callers."""

    seed: int
    seconds: float = 30.0
    vms: int = 3
    troubles: bool = True


class Soak:
    """A soak in progress."""

    def __init__(self, plan: SoakPlan, deployment: Deployment) -> None:
        self.plan = plan
        self.deployment = deployment
        self.random = Random(plan.seed)
        self.record = Record()
        self.proxies: dict[str, Proxy] = {}
        self.delay_s = 0.005
        self._version = 1
        self._expected_ends: set[int] = set()
        self._busy_vms: set[str] = set()

    def run(self) -> Record:
        """Runs callers and troubles, and returns the record."""
        self._set_up()
        balancer = Balancer(self.proxies, Random(self.plan.seed))
        greenlets = [gevent.spawn(balancer.run), gevent.spawn(self._watch_processes)]
        greenlets += [
            gevent.spawn(
                Caller(
                    n, self.deployment, balancer, self.record, Random(self.plan.seed * 100 + n)
                ).run
            )
            for n in range(CALLERS)
        ]
        gevent.sleep(WARM_UP_S)
        if self.plan.troubles:
            self._cause_troubles()
        self.record.calm_since = time.monotonic()
        gevent.sleep(CALM_S)
        gevent.killall(greenlets)
        self._finish()
        return self.record

    def _caller(self, number: int, balancer: Balancer) -> Caller:
        random = Random(self.plan.seed * CALLERS + number)
        return Caller(number, self.deployment, balancer, self.record, random)

    def _set_up(self) -> None:
        deployment = self.deployment
        deployment.add_group(SECOND_GROUP)
        for group in deployment.groups.values():
            group.synchronous_replicas = self.random.randint(0, 1)
            group.before_promotion = self._note_promotion
            for target in group.targets.values():
                target.faults.delay_s = self.delay_s
        self.configure(deployment.group.name)
        seeds: list[str] = []
        for number in range(self.plan.vms):
            name = f"vm{number}"
            self.proxies[name] = deployment.start_proxy(name, ready=False, seeds=seeds)
            seeds = [deployment.peers_address("vm0")]
        wait_until(self._all_ready, WAIT_TIMEOUT_S, "all proxies are ready")

    def _all_ready(self) -> bool:
        return all(proxy.ready for proxy in self.proxies.values())

    def configure(self, group: str) -> None:
        """Writes a configuration that routes the callers' database to a group."""
        self._version += 1
        self.deployment.configure(self._version, own={"kind": "read_own", "service": group})

    def _note_promotion(self, successor: TargetStandin) -> None:
        """Records which acknowledged values of the old primary its successor lacks."""
        group = successor.group
        acknowledged = {
            b"%d" % request.value
            for request in self.record.requests
            if request.kind == "write" and request.succeeded and request.group == group.name
        }
        held = {entry[3] for entry in successor.log}
        lost = tuple(acknowledged & {entry[3] for entry in group.primary.log} - held)
        self.record.promotions.append(
            Promotion(
                group.name, group.term + 1, time.monotonic(), group.synchronous_replicas, lost
            )
        )

    def _cause_troubles(self) -> None:
        """Starts troubles that overlap, and waits until all are over."""
        give_up_at = time.monotonic() + self.plan.seconds
        running: list[gevent.Greenlet] = []
        while time.monotonic() < give_up_at:
            name = self.random.choice(TROUBLES.names)
            self.record.troubles.append((time.monotonic(), name))
            running.append(gevent.spawn(TROUBLES.get(name), self))
            gevent.sleep(self.random.uniform(0.2, MAX_TROUBLE_GAP_S))
        gevent.joinall(running, raise_error=True)

    def choose_vm(self) -> str:
        """Returns a VM."""
        return self.random.choice(list(self.proxies))

    def note(self, vm: str, kind: str, status: int | None = None) -> None:
        """Records what was done to a VM."""
        self.record.vm_events.append(VmEvent(vm, kind, time.monotonic(), status))

    def kill(self, name: str) -> None:
        """Kills the process of a VM."""
        process = self.proxies[name].process
        self._expected_ends.add(process.pid)
        self.note(name, "killed")
        process.kill()

    def start(self, name: str) -> None:
        """Starts the process of a VM unless it runs."""
        process = self.proxies[name].process
        if not process.running:
            self.deployment.restart_proxy(name)
            self.note(name, "started")

    def stop_and_start(self, name: str) -> None:
        """Stops a VM by SIGTERM, kills it after its grace period, and starts it again."""
        if name in self._busy_vms:
            return
        self._busy_vms.add(name)
        process = self.proxies[name].process
        popen = process.popen
        self.note(name, "sigterm")
        self._expected_ends.add(popen.pid)
        process.signal(signal.SIGTERM)
        give_up_at = time.monotonic() + GRACE_S
        while popen.poll() is None and time.monotonic() < give_up_at:
            gevent.sleep(0.02)
        if popen.poll() is None:
            popen.kill()
            popen.wait()
        if popen.returncode != -signal.SIGKILL:
            self.note(name, "ended", popen.returncode)
        gevent.sleep(0.5)
        self.start(name)
        self._busy_vms.discard(name)

    def revive(self, target: TargetStandin) -> None:
        """Starts a crashed target again; it has the log of the primary if it lost the lead."""
        if target.server is None:
            if not target.primary:
                target.log[:] = target.group.primary.log
            target.start()
        self.deployment.register_all()

    def _watch_processes(self) -> None:
        """Records processes that end without having been told to, and starts them again."""
        while True:
            gevent.sleep(0.1)
            for name, proxy in self.proxies.items():
                process = proxy.process
                if not process.running and process.pid not in self._expected_ends:
                    self.note(name, "ended", process.popen.returncode or -1)
                    self.start(name)

    def _finish(self) -> None:
        record = self.record
        record.ended_at = time.monotonic()
        record.logs = {name: proxy.log for name, proxy in self.proxies.items()}
        stored = {
            entry[3] for group in self.deployment.groups.values() for entry in group.primary.log
        }
        for group in self.deployment.groups.values():
            for execution in group.executions:
                record.runs[execution.request_id] = record.runs.get(execution.request_id, 0) + 1
        record.stored = {
            request.id
            for request in record.requests
            if request.kind == "write" and b"%d" % request.value in stored
        }


def run_soak(plan: SoakPlan, directory: Path) -> tuple[Record, dict[str, list[str]]]:
    """Runs a soak in a directory; returns its record and the violations of each check."""
    with Processes(directory) as processes:
        deployment = Deployment(processes, directory)
        try:
            record = Soak(plan, deployment).run()
        finally:
            deployment.platform.server.stop()
            for group in deployment.groups.values():
                for target in group.targets.values():
                    with contextlib.suppress(OSError):
                        target.crash()
    return record, run_checks(record)
