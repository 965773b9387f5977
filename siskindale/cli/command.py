"""Shared parts of the commands: console output, errors and access to the store."""

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
    """Ends a command with an exit status and errors on standard error."""

    def __init__(self, status: ExitStatus, problems: Iterable[object]) -> None:
        super().__init__(status)
        self.status = status
        self.problems = tuple(problems)


def fail(status: ExitStatus, *problems: object) -> NoReturn:
    """Ends the command with an exit status and errors."""
    raise CommandError(status, problems)


def require_valid(result: Result[Any, Iterable[object]]) -> Any:
    """Returns the value, or ends the command with all findings as errors."""
    if isinstance(result, Failure):
        raise CommandError(ExitStatus.INVALID_INPUT, result.failure())
    return result.unwrap()


@attrs.frozen
class Console:
    """Output of one command run."""

    environment: Environment
    format: str = "human"

    def print_listing(self, listing: Listing) -> None:
        """Prints a listing in the selected format."""
        self.print_text(FORMATTERS.get(self.format)(listing))

    def print_text(self, text: str) -> None:
        """Prints to standard output."""
        print(text, file=self.environment.stdout)


@attrs.frozen
class Store:
    """Settings of a VM and the platform that they select."""

    settings: Settings
    platform: Platform

    def read_head(self) -> HeadRow:
        """Returns the head row; ends the command if the store does not respond."""
        return _require_answer(rolling.read_head(self.platform))

    def read_bundle(self, digest: str) -> SignedBundle:
        """Returns a stored bundle after verifying its digest and signatures."""
        content = _require_answer(self.platform.objects.get(digest))
        if content is None:
            fail(ExitStatus.ERROR, f"the object store has no body {digest}")
        opened = signing.verify_body(content, digest, self.settings.trust)
        if isinstance(opened, Failure):
            fail(ExitStatus.ERROR, f"body {digest[:12]}: {opened.failure()}")
        return opened.unwrap()

    def read_current_bundle(self) -> SignedBundle | None:
        """Returns the bundle of the head, or None before the first roll."""
        head = self.read_head().head
        return self.read_bundle(head.digest) if head.version else None

    def require_answer(self, result: Result[Any, PlatformError]) -> Any:
        """Returns the value of a store result, or ends the command."""
        return _require_answer(result)


def open_store(path: Path) -> Store:
    """Loads the settings and connects to their platform."""
    settings = require_valid(load_checked_settings(path))
    connected = connect(settings.platform)
    if isinstance(connected, Failure):
        fail(ExitStatus.INVALID_INPUT, f"{path}: $.platform.driver: {connected.failure()}")
    return Store(settings, connected.unwrap())


def _require_answer(result: Result[Any, PlatformError]) -> Any:
    if isinstance(result, Failure):
        fail(ExitStatus.ERROR, f"the store does not respond: {result.failure().detail}")
    return result.unwrap()
