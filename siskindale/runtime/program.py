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
from siskindale.runtime.health import Report, create_health_server
from siskindale.runtime.shutdown import Shutdown
from siskindale.runtime.supervision import failing_tasks
from siskindale.store.interface import PLATFORM_DRIVERS, Platform
from siskindale.targets.interface import TARGET_DRIVERS, TargetDriver
from siskindale.transport.mailbox import Delivery, Mailbox

# Sockets send asynchronously: messages queued just before the exit need this time to be sent.
SEND_FLUSH_DELAY_S = 0.2
STATUS_PATH = "/v1/operators/status"


class ProgramKind(enum.StrEnum):
    """Programs of a VM; the values are the names of their sections in the settings."""

    ENTRY = "entry"
    POOL = "pool"
    CONTROLLER = "controller"


# Programs that send work to the program in the key and must be told when it drains.
DRAIN_NOTICE_RECEIVERS: dict[ProgramKind, ProgramKind] = {
    ProgramKind.ENTRY: ProgramKind.POOL,
    ProgramKind.POOL: ProgramKind.ENTRY,
    ProgramKind.CONTROLLER: ProgramKind.CONTROLLER,
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
class ProgramComponents:
    """Components that every program is built from."""

    kind: ProgramKind
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

    def not_ready_reasons(self) -> Sequence[str]:
        """Lists why the program is not ready, beyond the reasons common to all programs."""
        ...

    def start(self) -> None:
        """Starts the service; the mailbox is already listening."""
        ...

    def drain(self) -> None:
        """Refuses new work and blocks until all work in flight has finished."""
        ...


ServiceFactory = Callable[[ProgramComponents], Service]


def run(
    kind: ProgramKind, create_service: ServiceFactory, settings: Settings, env: Environment
) -> ExitStatus:
    """Runs a program until it is asked to stop and has drained."""
    logs.configure(settings.log_level, env.stderr, program=env.program, vm=settings.vm)
    try:
        return _run_until_drained(create_components(kind, settings, env), create_service)
    except (OSError, pynng.NNGException) as error:
        print_errors(env, [f"cannot start: {error}"])
        return ExitStatus.ERROR


def create_components(kind: ProgramKind, settings: Settings, env: Environment) -> ProgramComponents:
    """Creates the components without starting any of them."""
    # Imported here because the follower's module imports from this package.
    from siskindale.bundles.following import BundleFollower

    # The platform logs the name of the VM that sent a request.
    platform_settings = attrs.evolve(settings.platform, client=settings.vm)
    platform = PLATFORM_DRIVERS.get(settings.platform.driver)(platform_settings)
    directory = Directory(settings, platform)
    inbox = getattr(settings, kind).inbox
    mailbox = Mailbox(f"{settings.vm}/{kind}", inbox, env.clock)
    relay = None if kind is ProgramKind.CONTROLLER else settings.controller.inbox.inbox_url
    bundles = BundleFollower(settings, platform, mailbox, directory, env.clock, relay_url=relay)
    return ProgramComponents(kind, settings, env, platform, directory, mailbox, bundles, Shutdown())


def not_ready_reasons(components: ProgramComponents, service: Service) -> list[str]:
    """Lists why the program is not ready; the list is empty if it is ready."""
    reasons = list(service.not_ready_reasons())
    if components.shutdown.draining:
        reasons.append("the program is draining")
    reasons.extend(f"task failed repeatedly: {task}" for task in failing_tasks())
    if not components.bundles.ready:
        reasons.append("no bundle is in effect yet")
    return reasons


def common_status(components: ProgramComponents) -> dict[str, Any]:
    """Returns the fields that `siskindale status` reads from every program."""
    bundle = components.bundles.current
    return {
        "vm": components.settings.vm,
        "program": str(components.kind),
        "boot": components.mailbox.boot,
        "bundle_version": bundle.version if bundle else 0,
        "bundle_digest": components.bundles.digest,
        "degraded": components.bundles.degraded,
        "draining": components.shutdown.draining,
        "members": sorted(member.vm for member in components.directory.members),
        "leaving": sorted(components.directory.leaving),
    }


def collect_reports(components: ProgramComponents, service: Service) -> dict[str, Report]:
    """Returns the reports of a service; its status report is merged into the common one."""
    own = dict(service.reports)
    service_status = own.pop(STATUS_PATH, dict)
    return {**own, STATUS_PATH: lambda: {**common_status(components), **service_status()}}


def load_target_driver(components: ProgramComponents, client_kind: str) -> TargetDriver:
    """Returns the target driver selected in the program's settings.

    `client_kind` tells targets which kind of program connects to them.
    """
    name = components.own_settings.target_driver  # type: ignore[union-attr]
    importlib.import_module(f"siskindale.targets.{name}")
    return TARGET_DRIVERS.get(name)(client_kind, components.settings.vm)


def _run_until_drained(components: ProgramComponents, create_service: ServiceFactory) -> ExitStatus:
    service = create_service(components)
    health = create_health_server(
        components.own_settings.health,
        lambda: not_ready_reasons(components, service),
        reports=collect_reports(components, service),
    )
    _start(components, service, health)
    components.shutdown.wait()
    _stop(components, service, health)
    return ExitStatus.SUCCESS


def _start(components: ProgramComponents, service: Service, health: StreamServer) -> None:
    components.shutdown.install()
    components.mailbox.set_handler(
        AliveRequest, lambda delivery: answer_alive_request(components.mailbox, delivery)
    )
    health.start()
    components.mailbox.start()
    _start_directory(components)
    components.bundles.start()
    service.start()
    logs.logger().info("program-started", boot=components.mailbox.boot)


def _start_directory(components: ProgramComponents) -> None:
    if components.kind is ProgramKind.CONTROLLER:
        DirectoryServer(components.directory, components.mailbox)
        components.directory.start()
    else:
        DirectoryClient(components.directory, components.mailbox, components.env.clock).start()


def _stop(components: ProgramComponents, service: Service, health: StreamServer) -> None:
    logs.logger().info("drain-started")
    notify_drain(components)
    service.drain()
    gevent.sleep(SEND_FLUSH_DELAY_S)
    components.mailbox.close()
    health.stop()
    logs.logger().info("program-stopped")


def notify_drain(components: ProgramComponents) -> None:
    """Tells the programs that send work to this one that it accepts no more."""
    receiver_kind = DRAIN_NOTICE_RECEIVERS[components.kind]
    for member in components.directory.members:
        url = getattr(member, receiver_kind).inbox_url
        if url != components.mailbox.url:
            components.mailbox.send(url, DrainNotice(f"{components.settings.vm}/{components.kind}"))


def answer_alive_request(mailbox: Mailbox, delivery: Delivery) -> None:
    """Answers a liveness probe without waiting for outbox space: the peer repeats its probe."""
    envelope = delivery.envelope
    mailbox.send(envelope.reply_to, AliveReply(), envelope.correlation_id, envelope.sender_boot)
