"""Lifecycle that the entry, pool and controller programs share.

Builds the platform client, directory, mailbox, bundle follower and health server, starts them, and
stops them after a drain.
"""

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

# Sockets send asynchronously: messages queued just before the exit need this time to be sent.
SEND_FLUSH_DELAY_S = 0.2
STATUS_PATH = "/v1/operators/status"


class Kind(enum.StrEnum):
    """Programs of a VM; the values are the names of their sections in the settings."""

    ENTRY = "entry"
    POOL = "pool"
    CONTROLLER = "controller"


# Programs that send work to the program in the key and must be told when it drains.
DRAIN_NOTICE_RECEIVERS: dict[Kind, Kind] = {
    Kind.ENTRY: Kind.POOL,
    Kind.POOL: Kind.ENTRY,
    Kind.CONTROLLER: Kind.CONTROLLER,
}


class BundleSource(Protocol):
    """Provides the bundle in effect; implemented by `BundleFollower`."""

    @property
    def current(self) -> Bundle | None:
        """Bundle in effect, or None before the first one is adopted."""
        ...

    @property
    def digest(self) -> str:
        """SHA-256 of the bundle in effect, empty before the first one is adopted."""
        ...

    @property
    def degraded(self) -> bool:
        """Whether the store has not confirmed the bundle recently."""
        ...

    @property
    def ready(self) -> bool:
        """Whether a bundle is in effect that the program can use."""
        ...

    def start(self) -> None:
        """Starts following the head."""
        ...

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Calls `callback` with each new bundle."""
        ...


@attrs.frozen
class Parts:
    """Components that every program is built from."""

    kind: Kind
    settings: Settings
    env: Environment
    platform: Platform
    directory: Directory
    mailbox: Mailbox
    bundles: BundleSource
    shutdown: Shutdown

    @property
    def own_settings(self) -> EntrySettings | PoolSettings | ControllerSettings:
        """Settings section of this program."""
        return getattr(self.settings, self.kind)


class Service(Protocol):
    """The part of a program that differs from the other programs."""

    @property
    def reports(self) -> Mapping[str, Report]:
        """JSON documents of the health server by path."""
        ...

    def reasons(self) -> Sequence[str]:
        """Lists why the program is not ready, beyond the reasons common to all programs."""
        ...

    def start(self) -> None:
        """Starts the service; the mailbox is already listening."""
        ...

    def drain(self) -> None:
        """Refuses new work and blocks until all work in flight has finished."""
        ...


ServiceFactory = Callable[[Parts], Service]


def run(
    kind: Kind, create_service: ServiceFactory, settings: Settings, env: Environment
) -> ExitStatus:
    """Runs a program until it is asked to stop and has drained."""
    logs.configure(settings.log_level, env.stderr, program=env.program, vm=settings.vm)
    try:
        return _run_until_drained(create_components(kind, settings, env), create_service)
    except (OSError, pynng.NNGException) as error:
        print_errors(env, [f"cannot start: {error}"])
        return ExitStatus.ERROR


def create_components(kind: Kind, settings: Settings, env: Environment) -> Parts:
    """Creates the components without starting any of them."""
    # Imported here because the follower's module imports from this package.
    from siskindale.bundles.following import BundleFollower

    # The platform logs the name of the VM that sent a request.
    platform_settings = attrs.evolve(settings.platform, client=settings.vm)
    platform = PLATFORM_DRIVERS.get(settings.platform.driver)(platform_settings)
    directory = Directory(settings, platform)
    inbox = getattr(settings, kind).inbox
    mailbox = Mailbox(f"{settings.vm}/{kind}", inbox, env.clock)
    relay = None if kind is Kind.CONTROLLER else settings.controller.inbox.inbox_url
    bundles = BundleFollower(settings, platform, mailbox, directory, env.clock, relay=relay)
    return Parts(kind, settings, env, platform, directory, mailbox, bundles, Shutdown())


def readiness(parts: Parts, service: Service) -> list[str]:
    """Lists why the program is not ready; the list is empty if it is ready."""
    reasons = list(service.reasons())
    if parts.shutdown.draining:
        reasons.append("the program is draining")
    if not parts.bundles.ready:
        reasons.append("no bundle is in effect yet")
    return reasons


def status(parts: Parts) -> dict[str, Any]:
    """Returns the fields that `siskindale status` reads from every program."""
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
    """Returns the reports of a service; its status report is merged into the common one."""
    own = dict(service.reports)
    service_status = own.pop(STATUS_PATH, dict)
    return {**own, STATUS_PATH: lambda: {**status(parts), **service_status()}}


def load_driver(parts: Parts, client_kind: str) -> TargetDriver:
    """Returns the target driver selected in the program's settings.

    `client_kind` tells targets which kind of program connects to them.
    """
    name = parts.own_settings.target_driver  # type: ignore[union-attr]
    importlib.import_module(f"siskindale.targets.{name}")
    return TARGET_DRIVERS.get(name)(client_kind, parts.settings.vm)


def _run_until_drained(parts: Parts, create_service: ServiceFactory) -> ExitStatus:
    service = create_service(parts)
    health = health_server(
        parts.own_settings.health,
        lambda: readiness(parts, service),
        reports=reports(parts, service),
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
    gevent.sleep(SEND_FLUSH_DELAY_S)
    parts.mailbox.close()
    health.stop()
    logs.logger().info("program-stopped")


def notify_drain(parts: Parts) -> None:
    """Tells the programs that send work to this one that it accepts no more."""
    receiver_kind = DRAIN_NOTICE_RECEIVERS[parts.kind]
    for member in parts.directory.members:
        url = getattr(member, receiver_kind).inbox_url
        if url != parts.mailbox.url:
            parts.mailbox.send(url, DrainNotice(f"{parts.settings.vm}/{parts.kind}"))


def answer_alive(mailbox: Mailbox, delivery: Delivery) -> None:
    """Answers a liveness probe without waiting for outbox space: the peer repeats its probe."""
    envelope = delivery.envelope
    mailbox.send(envelope.reply_to, AliveReply(), envelope.correlation_id, envelope.sender_boot)
