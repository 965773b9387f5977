"""A whole deployment as child processes: platform, database groups and the programs of the VMs."""

import functools
import secrets
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import gevent
import msgspec
from returns.result import Success

from bench.callers import Access
from bench.deployment import GroupStandin, PlatformStandin, start_group, start_platform
from bench.experiment import DeploymentPlan
from bench.operators import Operators, caller_hash
from bench.processes import Process, Processes, free_ports, wait_until
from bench.schema import setup_statements
from siskindale.models.bundle import Bundle, Caller, Durations, RepeatPolicy, StatementClass
from siskindale.models.group import Role, TargetStatus, majority
from siskindale.models.settings import (
    Address,
    ControllerSettings,
    EntrySettings,
    PoolSettings,
    SessionKey,
    Settings,
)
from siskindale.targets.http import HttpTargets
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose

PROGRAMS = ("entry", "pool", "controller")
CALLER = "club"
TOKEN = "bench-token"
READY_S = 20.0
SETUP_S = 20.0
DRAIN_S = 15.0
STATUS_TIMEOUT_S = 0.5
HTTP_TIMEOUT_S = 1.0

# Age of data that browsing accepts.
BROWSE_AGE_MS = 2000

# The classes of both deployments of the design page, by kind of operation.
CLASSES = (
    StatementClass("filings", RepeatPolicy.FORBIDDEN),
    StatementClass("revisions"),
    StatementClass("browsing", max_age_ms=BROWSE_AGE_MS, min_share=0.2),
)
CLASS_OF_KIND = {
    "browse": "browsing",
    "large": "browsing",
    "strict": "revisions",
    "write": "revisions",
    "transaction": "revisions",
    "keyed": "filings",
}


@attrs.frozen
class Vm:
    """A VM with its settings file."""

    settings: Settings
    file: Path

    @property
    def name(self) -> str:
        """Name of the VM."""
        return self.settings.vm

    def process(self, program: str) -> str:
        """Returns the name of a program's process."""
        return f"{self.name}-{program}"

    def health(self, program: str) -> Address:
        """Returns the health address of a program."""
        return getattr(self.settings, program).health


class Cluster:
    """Starts the parts of a deployment and knows where they are."""

    def __init__(self, plan: DeploymentPlan, processes: Processes, directory: Path) -> None:
        self.plan = plan
        self.processes = processes
        self.directory = directory
        self.platform: PlatformStandin = start_platform(processes)
        self.operators = Operators(directory, self.platform.settings("operators"))
        starts = {name: gevent.spawn(self._start_group, name) for name in plan.databases}
        gevent.joinall(list(starts.values()), raise_error=True)
        self.groups: dict[str, GroupStandin] = {n: start.value for n, start in starts.items()}
        self.vms = {vm.name: vm for vm in self._vms()}
        self.live = set(self.vms)
        self.leaving: set[str] = set()
        self.bundle = self._bundle()

    def start(self) -> None:
        """Rolls the first bundle, starts all VMs and creates the tables."""
        self.publish_live()
        self.operators.roll(self.bundle)
        for name in self.vms:
            self.start_vm(name)
        for name in self.vms:
            self.wait_ready(name)
        self._create_tables()

    def access(self) -> Access:
        """Returns what the load generator needs."""
        entries = {vm.name: vm.settings.entry.listen for vm in self.vms.values()}
        return Access(entries, TOKEN, self.plan.databases, CLASS_OF_KIND)

    def publish_live(self) -> None:
        """Updates the platform's live list."""
        self.platform.set_live(sorted(self.live), sorted(self.leaving))

    def start_vm(self, name: str) -> None:
        """Starts the three programs of a VM."""
        vm = self.vms[name]
        self.live.add(name)
        self.publish_live()
        for program in PROGRAMS:
            self.start_program(vm, program)

    def start_program(self, vm: Vm, program: str) -> Process:
        """Starts one program."""
        return self.processes.start(
            vm.process(program), f"siskindale.{program}", ["--settings", str(vm.file)]
        )

    def stop_vm(self, name: str) -> dict[str, int | None]:
        """Sends SIGTERM to the programs of a VM; returns their exit statuses.

        The platform names the VM as leaving first, as it does before it replaces one.
        """
        vm = self.vms[name]
        names = [vm.process(program) for program in PROGRAMS]
        running = [n for n in names if self.processes.get(n).running]
        stops = [gevent.spawn(self.processes.get(n).terminate, DRAIN_S) for n in running]
        self.live.discard(name)
        self.publish_live()
        gevent.joinall(stops)
        return {n: stop.value for n, stop in zip(running, stops, strict=True)}

    def wait_ready(self, name: str) -> None:
        """Waits until all programs of a VM are ready."""
        vm = self.vms[name]
        for program in PROGRAMS:
            self._wait_program(vm, program)

    def bundle_version(self, vm: Vm, program: str) -> int:
        """Returns the version in effect in a program, -1 if it does not respond."""
        body = get(vm.health(program), "/metrics")
        prefix = b"siskindale_bundle_version "
        lines = (line for line in (body or b"").splitlines() if line.startswith(prefix))
        return next((int(float(line.removeprefix(prefix))) for line in lines), -1)

    def programs(self) -> Iterator[tuple[Vm, str]]:
        """Returns the programs of all VMs."""
        return ((vm, program) for vm in self.vms.values() for program in PROGRAMS)

    def statuses(self, database: str) -> list[TargetStatus]:
        """Returns the status of each target that responds."""
        driver = HttpTargets("bench")
        controls = [driver.control(target) for target in self.groups[database].group.targets]
        answers = [control.status(STATUS_TIMEOUT_S) for control in controls]
        for control in controls:
            control.close()
        return [answer.unwrap() for answer in answers if isinstance(answer, Success)]

    def primary(self, database: str) -> TargetStatus | None:
        """Returns the primary of the highest term, None while a majority does not follow it."""
        statuses = self.statuses(database)
        newest = max((s.term for s in statuses), default=0)
        current = [s for s in statuses if s.term == newest]
        found = next((s for s in current if s.role is Role.PRIMARY), None)
        if found is None:
            return None
        holders = sum(s.name in found.voters and s.marker == found.marker for s in current)
        return found if holders >= majority(len(found.voters)) else None

    def wait_writable(self, timeout_s: float) -> None:
        """Waits until each group has a primary that a majority follows."""
        for name in self.plan.databases:
            writable = functools.partial(self._writable, name)
            wait_until(writable, timeout_s, f"primary of {name}")

    def _writable(self, database: str) -> bool:
        return self.primary(database) is not None

    def _start_group(self, name: str) -> GroupStandin:
        plan = self.plan
        domains = [plan.domains[i % len(plan.domains)] for i in range(plan.targets_per_database)]
        return start_group(
            self.processes,
            self.directory,
            name,
            domains,
            slots=plan.slots,
            connections=plan.connections,
            connect_ms=plan.connect_ms,
            spare_connections=plan.spare_connections,
            network_ms=plan.network_ms,
            ship_lag_ms=plan.ship_lag_ms,
            apply_lag_ms=plan.apply_lag_ms,
        )

    def _vms(self) -> Iterator[Vm]:
        keys = (SessionKey("k1", secrets.token_hex(32)),)
        for number in range(self.plan.vms):
            name = f"vm{number + 1}"
            ports = free_ports(7)
            settings = Settings(
                vm=name,
                failure_domain=self.plan.domains[number % len(self.plan.domains)],
                platform=self.platform.settings(name),
                session_keys=keys,
                trust=self.operators.trust,
                entry=EntrySettings(ports[0], ports[1], ports[2]),
                pool=PoolSettings(ports[3], ports[4]),
                controller=ControllerSettings(ports[5], ports[6]),
            )
            file = self.directory / f"{name}.json"
            file.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
            yield Vm(settings, file)

    def _bundle(self) -> Bundle:
        caller = Caller(
            CALLER,
            caller_hash(TOKEN),
            self.plan.databases,
            tuple(c.name for c in CLASSES),
            max_in_flight=10_000,
        )
        return Bundle(
            version=1,
            groups=tuple(standin.group for standin in self.groups.values()),
            classes=CLASSES,
            callers=(caller,),
            durations=Durations(**self.plan.durations),
        )

    def _wait_program(self, vm: Vm, program: str) -> None:
        name = vm.process(program)
        process = self.processes.get(name)
        try:
            wait_until(
                lambda: get(vm.health(program), "/readyz") is not None or not process.running,
                READY_S,
                f"{name} ready",
            )
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.processes.log_tail(name)}") from error
        if not process.running:
            raise RuntimeError(f"{name} ended at its start\n{self.processes.log_tail(name)}")

    def _create_tables(self, registers: int = 20) -> None:
        """Creates the tables through the callers' API; repeated until the group is writable."""
        entry = next(iter(self.vms.values())).settings.entry.listen
        headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        client = HttpClient(entry, headers, TrafficPurpose.STATEMENTS)
        for database in self.plan.databases:
            for sql, params in setup_statements(registers):
                self._create(client, database, sql, params)
        client.close()

    def _create(self, client: HttpClient, database: str, sql: str, params: tuple[str, ...]) -> None:
        request = {"sql": sql, "params": params, "access": "write", "class": "revisions"}
        give_up = time.monotonic() + SETUP_S
        while True:
            answer = client.request(
                "POST",
                f"/v1/databases/{database}/statements",
                msgspec.json.encode(request),
                HTTP_TIMEOUT_S * 6,
            )
            if isinstance(answer, Success) and answer.unwrap().status == 200:
                return
            if time.monotonic() > give_up:
                raise TimeoutError(f"cannot create tables of {database}: {answer}")
            gevent.sleep(0.1)


def get(address: Address, path: str) -> bytes | None:
    """Returns the body of a response with status 200, else None."""
    client = HttpClient(address, {}, TrafficPurpose.CONTROL)
    answer = client.request("GET", path, b"", HTTP_TIMEOUT_S)
    client.close()
    if isinstance(answer, Success) and answer.unwrap().status == 200:
        return answer.unwrap().body
    return None
