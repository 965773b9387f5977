"""A small deployment on loopback: the platform, services, proxies as processes, and clients."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from standin.database import Service
from standin.store import Platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
# The bound `grace_s` of the small installations.
GRACE_S = 6


class CaseNotRunError(Exception):
    """The case could not run, so it shows nothing."""


def trouble() -> bool:
    """Whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


class Proxy:
    """A proxy process, started with the command of the deploy file."""

    def __init__(self, name: str, settings: dict[str, object], folder: pathlib.Path) -> None:
        self.name = name
        self.clients = str(settings["clients"])
        self.readiness = str(settings["readiness"])
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(settings, indent=1))
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes]

    def start(self) -> None:
        """Starts the process."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["SISKINDALE_SETTINGS"] = str(self._path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "siskindale.proxy"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def ready(self) -> bool:
        """Asks the readiness probe, as the platform does."""
        host, _, port = self.readiness.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    """The platform, its services and the proxies; events are written to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="siskindale-review-"))
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._octets = itertools.count(1)
        self._prefix = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
        self.platform = Platform(self._promote, self.record)
        self.services: dict[str, Service] = {}
        self.proxies: dict[str, Proxy] = {}
        self.tx_idle_ms = 3000

    def host(self) -> str:
        """Returns a loopback address that nothing else of this deployment uses."""
        return f"{self._prefix}.{next(self._octets)}"

    def record(self, event: str, **fields: object) -> None:
        """Writes an event to the record."""
        if self._record.closed:
            return
        at = time.monotonic() - self._started_at
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{at:9.4f} {event} {words}\n")

    async def start_platform(self) -> None:
        """Starts the platform."""
        await self.platform.start(self.host())

    async def add_service(self, name: str, **limits: object) -> Service:
        """Starts a service of three instances in three zones; the first one is the primary."""
        service = Service(name, self.platform.put, self.record, **limits)  # type: ignore[arg-type]
        self.services[name] = service
        for index in range(3):
            await service.add(f"{name}-i{index}", f"zone{index}", self.host(), primary=index == 0)
        return service

    async def _promote(self, service: str, instance_id: str, holder: str, token: int) -> int:
        return await self.services[service].promote(instance_id)

    def configure(self, version: int, routes: list[dict[str, object]]) -> None:
        """Writes a manifest as the operator."""
        defaults: dict[str, object] = {
            "prefix": "/",
            "timeout_ms": 800,
            "target_latency_ms": 200,
            "priority": 1,
            "attempts": 2,
        }
        self.platform.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [{**defaults, "name": f"r-{r['host']}", **r} for r in routes],
                "services": [service.route_entry() for service in self.services.values()],
                "limits": {"tx_idle_ms": self.tx_idle_ms},
            },
        )
        self.record("manifest", version=version)

    def add_proxies(self, count: int, zone: str = "", prefix: str = "vm") -> list[str]:
        """Starts proxies that know each other by seeds; returns their names."""
        names = [f"{prefix}{index}" for index in range(count)]
        hosts = {name: self.host() for name in names}
        ports = {name: free_ports(hosts[name], 5) for name in names}
        seeds = [f"{hosts[name]}:{ports[name][2]}" for name in names[:3]]
        for index, name in enumerate(names):
            clients, readiness, peers, forwarding, metrics = ports[name]
            host = hosts[name]
            settings: dict[str, object] = {
                "vm": name,
                "failure_domain": zone or f"zone{index % 3}",
                "clients": f"{host}:{clients}",
                "readiness": f"{host}:{readiness}",
                "peers": f"{host}:{peers}",
                "store": self.platform.address,
                "promotions": self.platform.address,
                "drain_ms": 7000,
                "catalog_apply_ms": 3000,
                "grace_s": GRACE_S,
                "seeds": seeds,
                "processor_share": 0.537,
                "cores": 2,
                "forwarding": f"{host}:{forwarding}",
                "metrics_port": metrics,
            }
            self.proxies[name] = Proxy(name, settings, self._folder)
            self.proxies[name].start()
        return names

    async def wait_ready(self) -> None:
        """Waits until all proxies are ready and know each other."""
        for proxy in self.proxies.values():
            await eventually(proxy.ready, f"{proxy.name} is ready")
        await asyncio.sleep(4)

    def logs(self) -> dict[str, str]:
        """Returns the output of each proxy."""
        return {name: proxy.log.read_text(errors="replace") for name, proxy in self.proxies.items()}

    def close(self) -> None:
        """Ends all processes."""
        for proxy in self.proxies.values():
            proxy.kill()
        for name, text in self.logs().items():
            for line in text.splitlines():
                if "Traceback" in line or "Error" in line:
                    self.record("output", vm=name, line=line.strip()[:200])
        self._record.close()
        if os.environ.get("KEEP"):
            print(self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


async def eventually(condition: Callable[[], Awaitable[bool]], description: str) -> None:
    """Waits until a condition holds."""
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while not await condition():
        if time.monotonic() > give_up_at:
            raise CaseNotRunError(f"not in time: {description}")
        await asyncio.sleep(0.05)


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports of a loopback address that are free for TCP and UDP."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
        return ports


def run_case(folder: pathlib.Path, case: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Runs a case, which returns whether the rule held, and exits with the result."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        deployment = Deployment(folder)
        try:
            await deployment.start_platform()
            held = await asyncio.wait_for(case(deployment), 110)
            deployment.record("result", held=held)
            return HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            deployment.record("not-run", reason=repr(error))
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            deployment.close()

    if not (ROOT / "target" / "deps").is_dir():
        print("could not run: target/deps is missing; run the build of the deploy file first")
        sys.exit(NOT_RUN)
    status = asyncio.run(run())
    sys.stdout.flush()
    # Sessions that clients have left open would only report the end of the event loop.
    os._exit(status)
