"""Operators of an experiment: sign and roll bundles with the `siskindale` command line."""

import hashlib
import os
import secrets
import sys
from pathlib import Path

import attrs
import msgspec
from gevent import subprocess

from bench.processes import ROOT, free_addresses
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
    """Fields of a new draft that refer to the bundle in effect."""

    version: int
    previous: str = ""


def caller_hash(token: str) -> str:
    """Returns the hash of a caller's bearer token, as stored in a bundle."""
    return hashlib.sha256(token.encode()).hexdigest()


class Operators:
    """An operator with its own key pair and settings; raises `RuntimeError` if a command fails."""

    def __init__(self, directory: Path, platform: PlatformSettings) -> None:
        self._directory = directory
        self._settings_file = directory / "operators.json"
        self._key_file = directory / "operator.key"
        self._run_command("key", "new", SIGNER, "--out", self._key_file)
        key = msgspec.json.decode(self._key_file.read_bytes())
        self.trust = Trust((Signer(SIGNER, key["public_key"]),))
        settings = _operator_settings(platform, self.trust)
        self._settings_file.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))

    def roll(self, bundle: Bundle) -> Bundle:
        """Rolls a bundle as the next version; returns the accepted bundle."""
        draft, signed = self._directory / "draft.json", self._directory / "signed.json"
        settings_option = ("--settings", self._settings_file)
        if bundle.version > 1:
            self._run_command("bundle", "new", *settings_option, "--out", draft)
            new_draft = msgspec.json.decode(draft.read_bytes(), type=_Draft)
            bundle = attrs.evolve(bundle, version=new_draft.version, previous=new_draft.previous)
        draft.write_bytes(msgspec.json.format(msgspec.json.encode(bundle)))
        self._run_command(
            "bundle", "sign", draft, "--key", self._key_file, "--out", signed, *settings_option
        )
        self._run_command("bundle", "roll", signed, *settings_option, "--operator", SIGNER)
        return bundle

    def _run_command(self, *arguments: object) -> None:
        command = [sys.executable, "-m", "siskindale", *map(str, arguments)]
        result = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=COMMAND_TIMEOUT_S,
        )
        if result.returncode != 0:
            raise RuntimeError(
                f"{' '.join(command[2:])}: status {result.returncode}: {result.stdout.decode()}"
            )


def _operator_settings(platform: PlatformSettings, trust: Trust) -> Settings:
    """Returns settings of a VM without programs; the commands use only `platform` and `trust`."""
    ports = free_addresses(7)
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
