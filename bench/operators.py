"""Operators of an experiment: they sign and roll bundles with the product's own command."""

import hashlib
from pathlib import Path

import attrs
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from siskindale.bundles import delta
from siskindale.bundles.signing import canonical, digest_of, sign
from siskindale.models.bundle import Bundle, SignedBundle
from siskindale.models.settings import PlatformSettings, Signer, Trust
from siskindale.platform.http import http_platform
from siskindale.platform.interface import Condition, Write

SIGNER = "operator"


def caller_hash(token: str) -> str:
    """Returns the hash by which a bundle names a caller's bearer token."""
    return hashlib.sha256(token.encode()).hexdigest()


class Operators:
    """Holds a signing key and the head of the rolled bundles."""

    def __init__(self, directory: Path, platform: PlatformSettings) -> None:
        self._key = Ed25519PrivateKey.generate()
        self._platform = http_platform(platform)
        self._previous, self._content = "", b""
        public = self._key.public_key().public_bytes_raw().hex()
        self.trust = Trust((Signer(SIGNER, public),))

    def roll(self, bundle: Bundle) -> Bundle:
        """Rolls a bundle; returns it as accepted."""
        bundle = attrs.evolve(bundle, previous=self._previous)
        content = canonical(SignedBundle(bundle, (sign(bundle, SIGNER, self._key),)))
        digest = digest_of(content)
        self._platform.objects.put(digest, content).unwrap()
        change = delta.encode(self._content, content) if self._content else b""
        head = {"version": bundle.version, "digest": digest, "delta": ""}
        if change:
            head["delta"] = digest_of(change)
            self._platform.objects.put(digest_of(change), change).unwrap()
        row = self._platform.tables.read("bundle_head", "head").unwrap()
        self._platform.tables.commit(
            [Condition("bundle_head", "head", row.version if row else 0)],
            [Write("bundle_head", "head", head)],
        ).unwrap()
        self._previous, self._content = digest, content
        return bundle
