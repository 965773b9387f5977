"""What a run of the operators' command works with: environment, output format, platform."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NoReturn

import attrs
from returns.result import Failure, Result

from siskindale.bundles import rolling, signing
from siskindale.bundles.rolling import HeadRow
from siskindale.config.checks import load_checked_settings
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.bundle import SignedBundle
from siskindale.models.settings import Settings
from siskindale.output.listing import FORMATTERS, Listing
from siskindale.store.connecting import connect
from siskindale.store.interface import Platform, PlatformError


class CommandError(Exception):
    """Ends a command with errors on standard error and an exit status."""

    def __init__(self, status: ExitStatus, problems: Iterable[object]) -> None:
        super().__init__(status)
        self.status = status
        self.problems = tuple(problems)


def fail(status: ExitStatus, *problems: object) -> NoReturn:
    """Ends the command."""
    raise CommandError(status, problems)


def valid(result: Result[Any, Iterable[object]]) -> Any:
    """Returns the value, or ends the command with all findings."""
    if isinstance(result, Failure):
        raise CommandError(ExitStatus.INVALID_INPUT, result.failure())
    return result.unwrap()


@attrs.frozen
class Session:
    """One run of the command."""

    environment: Environment
    format: str = "human"

    def show(self, listing: Listing) -> None:
        """Prints a list in the chosen format."""
        self.write(FORMATTERS.get(self.format)(listing))

    def write(self, text: str) -> None:
        """Prints to standard output."""
        print(text, file=self.environment.stdout)


@attrs.frozen
class Store:
    """Settings and the platform that they name."""

    settings: Settings
    platform: Platform

    def head(self) -> HeadRow:
        """Returns the head; ends the command if the store does not respond."""
        return _answered(rolling.read_head(self.platform))

    def body(self, digest: str) -> SignedBundle:
        """Returns a stored bundle after its digest and signatures were checked."""
        content = _answered(self.platform.objects.get(digest))
        if content is None:
            fail(ExitStatus.ERROR, f"the object store has no body {digest}")
        opened = signing.verify_body(content, digest, self.settings.trust)
        if isinstance(opened, Failure):
            fail(ExitStatus.ERROR, f"body {digest[:12]}: {opened.failure()}")
        return opened.unwrap()

    def current(self) -> SignedBundle | None:
        """Returns the bundle of the head, None before the first one."""
        head = self.head().head
        return self.body(head.digest) if head.version else None

    def answered(self, result: Result[Any, PlatformError]) -> Any:
        """Returns the value of an answer, or ends the command."""
        return _answered(result)


def open_store(path: Path) -> Store:
    """Loads the settings and connects to their platform."""
    settings = valid(load_checked_settings(path))
    connected = connect(settings.platform)
    if isinstance(connected, Failure):
        fail(ExitStatus.INVALID_INPUT, f"{path}: $.platform.driver: {connected.failure()}")
    return Store(settings, connected.unwrap())


def _answered(result: Result[Any, PlatformError]) -> Any:
    if isinstance(result, Failure):
        fail(ExitStatus.ERROR, f"the store does not respond: {result.failure().detail}")
    return result.unwrap()
