"""Key files of operators: an Ed25519 key pair as JSON, readable by its owner only."""

import os
from pathlib import Path

import attrs
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from siskindale.cli.command import fail, require_valid
from siskindale.config.loader import load_file
from siskindale.exits import ExitStatus

OWNER_ONLY_MODE = 0o600


@attrs.frozen
class KeyFile:
    """Key pair in hexadecimal; the public key goes into the settings of every VM."""

    signer: str
    private_key: str
    public_key: str


def create(signer: str) -> KeyFile:
    """Creates a new key pair."""
    key = Ed25519PrivateKey.generate()
    return KeyFile(signer, key.private_bytes_raw().hex(), key.public_key().public_bytes_raw().hex())


def write(key: KeyFile, path: Path) -> None:
    """Writes a key file; refuses to overwrite an existing file."""
    text = msgspec.json.format(msgspec.json.encode(key)) + b"\n"
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, OWNER_ONLY_MODE)
    except FileExistsError:
        fail(ExitStatus.REFUSED, f"{path}: already exists; key files are never overwritten")
    except OSError as error:
        fail(ExitStatus.ERROR, f"{path}: {error.strerror}")
    with os.fdopen(descriptor, "wb") as file:
        file.write(text)


def read(path: Path) -> tuple[str, Ed25519PrivateKey]:
    """Reads a key file and returns the signer and the private key."""
    key: KeyFile = require_valid(load_file(path, KeyFile))
    try:
        private = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(key.private_key))
    except ValueError:
        fail(ExitStatus.INVALID_INPUT, f"{path}: $.private_key: is not an Ed25519 key")
    return key.signer, private
