"""Fixture of an operator with settings, keys and a fake platform."""

import io
from collections.abc import Iterator
from pathlib import Path

import attrs
import msgspec
import pytest

from siskindale import core
from siskindale.cli import drafts, keys
from siskindale.context import Environment
from siskindale.models.bundle import Bundle
from siskindale.models.settings import Signer, Trust
from siskindale.store.interface import PLATFORM_DRIVERS, Platform
from tests.fakes.platform import FakePlatform
from tests.fakes.settings import vm_settings

ACTIVE_PLATFORMS: list[FakePlatform] = []


@PLATFORM_DRIVERS.register("fake")
def fake_platform(_: object) -> Platform:
    """Returns the platform of the running test."""
    return ACTIVE_PLATFORMS[-1].as_platform()


@attrs.define
class Operator:
    """Runs the command in a directory with `settings.json` and key files of two signers."""

    directory: Path
    platform: FakePlatform
    stdout: str = ""
    stderr: str = ""

    def run(self, *args: str) -> int:
        """Runs the command and stores its output, replacing that of the previous run."""
        environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
        status = core.main(args, environment)
        self.stdout = environment.stdout.getvalue()  # type: ignore[attr-defined]
        self.stderr = environment.stderr.getvalue()  # type: ignore[attr-defined]
        return int(status)

    def path(self, name: str) -> str:
        """Returns a path in the operator's directory."""
        return str(self.directory / name)

    def run_with_settings(self, *args: str) -> int:
        """Runs a command with `--settings`."""
        return self.run(*args, "--settings", self.path("settings.json"))

    def write_draft(self, name: str, **changes: object) -> str:
        """Writes a draft of the next version with changes and returns its path."""
        assert self.run_with_settings("bundle", "new") == 0, self.stderr
        draft = msgspec.json.decode(self.stdout, type=Bundle)
        path = self.directory / name
        path.write_text(drafts.to_text(attrs.evolve(draft, **changes)))
        return str(path)

    def write_signed(self, name: str, **changes: object) -> str:
        """Writes a draft of the next version, signed by both signers, and returns its path."""
        draft, out = self.write_draft(name + ".draft", **changes), self.path(name)
        assert (
            self.run_with_settings(
                "bundle", "sign", draft, "--key", self.path("vesela"), "--out", out
            )
            == 0
        )
        assert (
            self.run_with_settings("bundle", "sign", out, "--key", self.path("anton"), "--out", out)
            == 0
        )
        return out

    def roll(self, file: str, operator: str = "vesela", *args: str) -> int:
        """Rolls a bundle file."""
        return self.run_with_settings(
            "bundle", "roll", file, "--operator", operator, "--timeout", "0.6", *args
        )


@pytest.fixture
def operator(tmp_path: Path) -> Iterator[Operator]:
    """Operator of a deployment that has no bundle yet and requires two signatures."""
    ACTIVE_PLATFORMS.append(FakePlatform())
    trusted_signers = []
    for name in ("vesela", "anton"):
        key = keys.create(name)
        keys.write(key, tmp_path / name)
        trusted_signers.append(Signer(name, key.public_key))
    settings = vm_settings()
    settings = attrs.evolve(
        settings,
        platform=attrs.evolve(settings.platform, driver="fake"),
        trust=Trust(tuple(trusted_signers), 2),
    )
    (tmp_path / "settings.json").write_bytes(msgspec.json.encode(settings))
    yield Operator(tmp_path, ACTIVE_PLATFORMS[-1])
    ACTIVE_PLATFORMS.pop()
