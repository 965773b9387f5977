"""Operators of an experiment: they sign and roll bundles with the product's own command."""

import hashlib
import os
import secrets
import sys
from pathlib import Path

import attrs
import msgspec
from gevent import subprocess

from bench.processes import ROOT, free_ports
from siskindale.models.bundle import Bundle
from siskindale.models.settings import (
    ControllerSettings,
    EntrySettings,
    PlatformSettings,
    PoolSettings,
    SessionKey,
    Settings,
    Signer,
    Trust,
)

SIGNER = "operator"
COMMAND_TIMEOUT_S = 30.0


@attrs.frozen
class _Draft:
    """What a new bundle takes from the one in effect."""

    version: int
    previous: str = ""


def caller_hash(token: str) -> str:
    """Returns the hash by which a bundle names a caller's bearer token."""
    return hashlib.sha256(token.encode()).hexdigest()


class Operators:
    """Has a key pair and settings of its own; raises `RuntimeError` if a command fails."""

    def __init__(self, directory: Path, platform: PlatformSettings) -> None:
        self._directory = directory
        self._settings = directory / "operators.json"
        self._key = directory / "operator.key"
        self._run("key", "new", SIGNER, "--out", self._key)
        key = msgspec.json.decode(self._key.read_bytes())
        self.trust = Trust((Signer(SIGNER, key["public_key"]),))
        settings = _settings(platform, self.trust)
        self._settings.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))

    def roll(self, bundle: Bundle) -> Bundle:
        """Rolls a bundle as the next version; returns it as accepted."""
        draft, signed = self._directory / "draft.json", self._directory / "signed.json"
        store = ("--settings", self._settings)
        if bundle.version > 1:
            self._run("bundle", "new", *store, "--out", draft)
            head = msgspec.json.decode(draft.read_bytes(), type=_Draft)
            bundle = attrs.evolve(bundle, version=head.version, previous=head.previous)
        draft.write_bytes(msgspec.json.format(msgspec.json.encode(bundle)))
        self._run("bundle", "sign", draft, "--key", self._key, "--out", signed, *store)
        self._run("bundle", "roll", signed, *store, "--operator", SIGNER)
        return bundle

    def _run(self, *arguments: object) -> None:
        command = [sys.executable, "-m", "siskindale", *map(str, arguments)]
        done = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=COMMAND_TIMEOUT_S,
        )
        if done.returncode != 0:
            raise RuntimeError(
                f"{' '.join(command[2:])}: status {done.returncode}: {done.stdout.decode()}"
            )


def _settings(platform: PlatformSettings, trust: Trust) -> Settings:
    """Returns settings of a VM that runs no program; the command needs platform and trust."""
    ports = free_ports(7)
    return Settings(
        vm="operators",
        failure_domain="operators",
        platform=platform,
        session_keys=(SessionKey("k1", secrets.token_hex(32)),),
        trust=trust,
        entry=EntrySettings(ports[0], ports[1], ports[2]),
        pool=PoolSettings(ports[3], ports[4]),
        controller=ControllerSettings(ports[5], ports[6]),
    )
