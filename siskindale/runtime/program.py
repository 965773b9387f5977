"""Skeleton of the three programs: platform, directory, mailbox, bundle, health and drain."""

import enum
import importlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import attrs
import gevent
import pynng
from gevent.server import StreamServer

import siskindale.store.http  # noqa: F401 - registers the driver
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.membership.directory import Directory
from siskindale.membership.relay import DirectoryClient, DirectoryServer
from siskindale.models.bundle import Bundle
from siskindale.models.settings import (
    ControllerSettings,
    EntrySettings,
    PoolSettings,
    Settings,
)
from siskindale.models.wire import AliveReply, AliveRequest, DrainNotice
from siskindale.runtime import logs
from siskindale.runtime.commands import print_errors
from siskindale.runtime.health import Report, health_server
from siskindale.runtime.shutdown import Shutdown
from siskindale.store.interface import PLATFORM_DRIVERS, Platform
from siskindale.targets.interface import TARGET_DRIVERS, TargetDriver
from siskindale.transport.mailbox import Delivery, Mailbox

# Sockets send in the background: messages queued just before the exit need this time to leave.
FLUSH_S = 0.2
STATUS_PATH = "/v1/operators/status"


class Kind(enum.StrEnum):
    """Programs of a VM; the names of their sections in the settings."""

    ENTRY = "entry"
    POOL = "pool"
    CONTROLLER = "controller"


# Programs that send work to a program and have to know that it drains.
DRAIN_PEERS: dict[Kind, Kind] = {
    Kind.ENTRY: Kind.POOL,
    Kind.POOL: Kind.ENTRY,
    Kind.CONTROLLER: Kind.CONTROLLER,
}


class BundleSource(Protocol):
    """The bundle in effect; implemented by `BundleFollower`."""

    @property
    def current(self) -> Bundle | None:
        """Bundle in effect, None before the first one."""
        ...

    @property
    def digest(self) -> str:
        """SHA-256 of the bundle in effect, empty before the first one."""
        ...

    @property
    def degraded(self) -> bool:
        """Whether the store has not confirmed the bundle recently."""
        ...

    @property
    def ready(self) -> bool:
        """Whether there is a bundle to work by."""
        ...

    def start(self) -> None:
        """Starts following."""
        ...

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Calls `callback` with each new bundle."""
        ...


@attrs.frozen
class Parts:
    """What every program is built from."""

    kind: Kind
    settings: Settings
    env: Environment
    platform: Platform
    directory: Directory
    mailbox: Mailbox
    bundles: BundleSource
    shutdown: Shutdown

    @property
    def section(self) -> EntrySettings | PoolSettings | ControllerSettings:
        """Settings of this program alone."""
        return getattr(self.settings, self.kind)


class Service(Protocol):
    """What a program adds to the skeleton."""

    @property
    def reports(self) -> Mapping[str, Report]:
        """JSON documents by path on the health server."""
        ...

    def reasons(self) -> Sequence[str]:
        """Lists why the program is not ready, beyond the skeleton's own reasons."""
        ...

    def start(self) -> None:
        """Starts work; the mailbox listens already."""
        ...

    def drain(self) -> None:
        """Takes nothing new and blocks until everything in flight is finished."""
        ...


Build = Callable[[Parts], Service]


def run(kind: Kind, build: Build, settings: Settings, env: Environment) -> ExitStatus:
    """Runs a program until it is told to stop and has drained."""
    logs.configure(settings.log_level, env.stderr, program=env.program, vm=settings.vm)
    try:
        return _run(assemble(kind, settings, env), build)
    except (OSError, pynng.NNGException) as error:
        print_errors(env, [f"cannot start: {error}"])
        return ExitStatus.ERROR


def assemble(kind: Kind, settings: Settings, env: Environment) -> Parts:
    """Builds the parts; nothing is started."""
    # Loaded here because the follower's module needs types of this package.
    from siskindale.bundles.following import BundleFollower

    # The platform's logs name the VM that a request comes from.
    platform_settings = attrs.evolve(settings.platform, client=settings.vm)
    platform = PLATFORM_DRIVERS.get(settings.platform.driver)(platform_settings)
    directory = Directory(settings, platform)
    inbox = getattr(settings, kind).inbox
    mailbox = Mailbox(f"{settings.vm}/{kind}", inbox, env.clock)
    relay = None if kind is Kind.CONTROLLER else settings.controller.inbox.inbox_url
    bundles = BundleFollower(settings, platform, mailbox, directory, env.clock, relay_url=relay)
    return Parts(kind, settings, env, platform, directory, mailbox, bundles, Shutdown())


def readiness(parts: Parts, service: Service) -> list[str]:
    """Lists why the program is not ready; empty when it is."""
    reasons = list(service.reasons())
    if parts.shutdown.draining:
        reasons.append("the program is draining")
    if not parts.bundles.ready:
        reasons.append("no bundle is in effect yet")
    return reasons


def status(parts: Parts) -> dict[str, Any]:
    """Returns what `siskindale status` shows of every program."""
    bundle = parts.bundles.current
    return {
        "vm": parts.settings.vm,
        "program": str(parts.kind),
        "boot": parts.mailbox.boot,
        "bundle_version": bundle.version if bundle else 0,
        "bundle_digest": parts.bundles.digest,
        "degraded": parts.bundles.degraded,
        "draining": parts.shutdown.draining,
        "members": sorted(member.vm for member in parts.directory.members),
        "leaving": sorted(parts.directory.leaving),
    }


def reports(parts: Parts, service: Service) -> dict[str, Report]:
    """Returns the reports of a service; its own status is added to the common one."""
    own = dict(service.reports)
    added = own.pop(STATUS_PATH, dict)
    return {**own, STATUS_PATH: lambda: {**status(parts), **added()}}


def load_driver(parts: Parts, client_kind: str) -> TargetDriver:
    """Returns the target driver that the program's settings name.

    `client_kind` tells targets which kind of program connects.
    """
    name = parts.section.target_driver  # type: ignore[union-attr]
    importlib.import_module(f"siskindale.targets.{name}")
    return TARGET_DRIVERS.get(name)(client_kind, parts.settings.vm)


def _run(parts: Parts, build: Build) -> ExitStatus:
    service = build(parts)
    health = health_server(
        parts.section.health, lambda: readiness(parts, service), reports=reports(parts, service)
    )
    _start(parts, service, health)
    parts.shutdown.wait()
    _stop(parts, service, health)
    return ExitStatus.SUCCESS


def _start(parts: Parts, service: Service, health: StreamServer) -> None:
    parts.shutdown.install()
    parts.mailbox.on(AliveRequest, lambda delivery: answer_alive(parts.mailbox, delivery))
    health.start()
    parts.mailbox.start()
    _start_directory(parts)
    parts.bundles.start()
    service.start()
    logs.logger().info("program-started", boot=parts.mailbox.boot)


def _start_directory(parts: Parts) -> None:
    if parts.kind is Kind.CONTROLLER:
        DirectoryServer(parts.directory, parts.mailbox)
        parts.directory.start()
    else:
        DirectoryClient(parts.directory, parts.mailbox, parts.env.clock).start()


def _stop(parts: Parts, service: Service, health: StreamServer) -> None:
    logs.logger().info("drain-started")
    notify_drain(parts)
    service.drain()
    gevent.sleep(FLUSH_S)
    parts.mailbox.close()
    health.stop()
    logs.logger().info("program-stopped")


def notify_drain(parts: Parts) -> None:
    """Tells the programs that send work here that this one takes no more."""
    peer_kind = DRAIN_PEERS[parts.kind]
    for member in parts.directory.members:
        url = getattr(member, peer_kind).inbox_url
        if url != parts.mailbox.url:
            parts.mailbox.send(url, DrainNotice(f"{parts.settings.vm}/{parts.kind}"))


def answer_alive(mailbox: Mailbox, delivery: Delivery) -> None:
    """Answers a sign of life without waiting for room: the peer asks again."""
    envelope = delivery.envelope
    mailbox.send(envelope.reply_to, AliveReply(), envelope.correlation_id, envelope.sender_boot)
