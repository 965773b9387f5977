"""Groups of stand-in targets and a stand-in platform as child processes."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec
from returns.result import Failure

from bench.processes import Process, Processes, free_addresses
from siskindale.models.bundle import Group, Target
from siskindale.models.settings import Address, PlatformSettings
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose

ADMIN_TIMEOUT_S = 5.0
TARGET_FIELD_OPTIONS = ("slots", "connections", "connect_ms", "spare_connections")


def post_admin(address: Address, path: str, body: Any) -> Any:
    """Posts JSON to the administrative API of a stand-in.

    Raises `ConnectionError` if the stand-in does not respond, `RuntimeError` on an error status.
    """
    client = HttpClient(address, {"Content-Type": "application/json"}, TrafficPurpose.CONTROL)
    answer = client.request("POST", path, msgspec.json.encode(body), ADMIN_TIMEOUT_S)
    client.close()
    if isinstance(answer, Failure):
        raise ConnectionError(f"{address}{path}: {answer.failure().detail}")
    response = answer.unwrap()
    if response.status != 200:
        raise RuntimeError(f"{path}: status {response.status}: {response.body!r}")
    return msgspec.json.decode(response.body)


@attrs.frozen
class PlatformStandin:
    """A running stand-in platform."""

    process: Process
    listen: Address
    admin: Address

    def settings(self, client: str = "", timeout_ms: int = 1000) -> PlatformSettings:
        """Returns the settings with which a VM reaches the platform."""
        return PlatformSettings(
            self.listen, self.listen, self.listen, timeout_ms=timeout_ms, client=client
        )

    def set_faults(self, **values: Any) -> dict[str, Any]:
        """Changes the given faults of the platform."""
        return post_admin(self.admin, "/faults", values)

    def back_up(self) -> None:
        """Keeps a copy of the tables for `restore`."""
        post_admin(self.admin, "/backup", {})

    def restore(self) -> None:
        """Replaces the tables by the copy, so that versions are given out again."""
        post_admin(self.admin, "/restore", {})

    def set_live(self, live: Sequence[str], leaving: Sequence[str] = ()) -> None:
        """Replaces the live list."""
        post_admin(self.admin, "/live", {"live": list(live), "leaving": list(leaving)})


@attrs.frozen
class GroupStandin:
    """A running group of stand-in targets; the first target is the initial primary."""

    group: Group
    processes: Processes

    def target(self, name: str) -> Target:
        """Returns the target of that name."""
        target = self.group.target(name)
        if target is None:
            raise KeyError(name)
        return target

    def process(self, name: str) -> Process:
        """Returns the process of a target."""
        return self.processes.get(name)

    def set_faults(self, name: str, **values: Any) -> dict[str, Any]:
        """Changes the given faults of a target."""
        return post_admin(self.target(name).control, "/faults", values)

    def restart(self, name: str) -> None:
        """Restarts a killed target with its data."""
        self.processes.restart(name)
        self.processes.wait_accepting(name, self.target(name).control)


def start_platform(processes: Processes, name: str = "platform") -> PlatformStandin:
    """Starts a stand-in platform on free ports and waits until it is ready."""
    listen, admin = free_addresses(2)
    process = processes.start(
        name, "standins.platform", ["--listen", str(listen), "--admin", str(admin)]
    )
    processes.wait_accepting(name, admin)
    return PlatformStandin(process, listen, admin)


def start_group(
    processes: Processes,
    directory: Path,
    name: str = "survey",
    domains: Sequence[str] = ("smolyan", "chepelare", "devin"),
    **options: Any,
) -> GroupStandin:
    """Starts one target per domain on free ports; `options` are passed to `standins.target`.

    The targets are named `<group>-a`, `<group>-b` and so on.
    """
    addresses = free_addresses(2 * len(domains))
    targets = tuple(
        Target(
            name=f"{name}-{chr(ord('a') + index)}",
            failure_domain=domain,
            data=addresses[2 * index],
            control=addresses[2 * index + 1],
            slots=options.get("slots", 2),
            connections=options.get("connections", 16),
            connect_ms=options.get("connect_ms", 10),
        )
        for index, domain in enumerate(domains)
    )
    group = Group(name, targets)
    for target in targets:
        processes.start(
            target.name, "standins.target", target_arguments(group, target, directory, options)
        )
    for target in targets:
        processes.wait_accepting(target.name, target.control)
    return GroupStandin(group, processes)


def target_arguments(
    group: Group, target: Target, directory: Path, options: dict[str, Any]
) -> list[str]:
    """Returns the command line arguments of a target of a new group."""
    values = {
        "name": target.name,
        "group": group.name,
        "data": target.data,
        "control": target.control,
        "dir": directory,
        "peers": ",".join(f"{t.name}={t.control}" for t in group.targets),
        "slots": target.slots,
        "connections": target.connections + options.get("spare_connections", 0),
        "connect_ms": target.connect_ms,
        "initial_primary": group.targets[0].name,
        "voters": ",".join(group.voters),
        **{key: value for key, value in options.items() if key not in TARGET_FIELD_OPTIONS},
    }
    return [text for key, value in values.items() for text in (_option_name(key), str(value))]


def _option_name(key: str) -> str:
    return "--" + key.replace("_", "-")
