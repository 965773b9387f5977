"""Operators of an experiment: they sign and roll bundles with the product's own code."""

import hashlib
import uuid
from pathlib import Path

import attrs
import gevent
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from siskindale.bundles.rolling import Accepted, Roller, RollRequest, read_head
from siskindale.bundles.signing import sign
from siskindale.context import SystemClock
from siskindale.models.bundle import Bundle, SignedBundle
from siskindale.models.settings import PlatformSettings, Signer, Trust
from siskindale.platform.http import http_platform

SIGNER = "operator"
TIMEOUT_S = 10.0


def caller_hash(token: str) -> str:
    """Returns the hash by which a bundle names a caller's bearer token."""
    return hashlib.sha256(token.encode()).hexdigest()


class Operators:
    """Holds a signing key and rolls bundles one after the other."""

    def __init__(self, directory: Path, platform: PlatformSettings) -> None:
        self._key = Ed25519PrivateKey.generate()
        self._platform = http_platform(platform)
        public = self._key.public_key().public_bytes_raw().hex()
        self.trust = Trust((Signer(SIGNER, public),))

    def roll(self, bundle: Bundle) -> Bundle:
        """Rolls a bundle; returns it as accepted, raises `RuntimeError` if it was not."""
        previous = read_head(self._platform).unwrap().head.digest
        bundle = attrs.evolve(bundle, previous=previous)
        signed = SignedBundle(bundle, (sign(bundle, SIGNER, self._key),))
        request = RollRequest(signed, (SIGNER,), SIGNER, uuid.uuid4().hex, TIMEOUT_S)
        outcome = Roller(request, self._platform, SystemClock(), gevent.sleep).roll()
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f"version {bundle.version}: {outcome}")
        return bundle
