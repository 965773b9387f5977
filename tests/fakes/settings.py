"""Settings, keys and bundles for tests."""

import attrs
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from siskindale.bundles import signing
from siskindale.models.bundle import (
    Bundle,
    Caller,
    Group,
    SignedBundle,
    StatementClass,
    Target,
)
from siskindale.models.settings import (
    Address,
    ControllerSettings,
    EntrySettings,
    PlatformSettings,
    PoolSettings,
    SessionKey,
    Settings,
    Signer,
    Trust,
)

KEYS = {
    name: Ed25519PrivateKey.from_private_bytes(name.encode().ljust(32, b"."))
    for name in ("vesela", "anton", "mallory")
}
DOMAINS = ("smolyan", "chepelare", "devin")


def public_key_hex(key: Ed25519PrivateKey) -> str:
    """Returns the raw public key in hexadecimal."""
    raw_format = serialization.Encoding.Raw, serialization.PublicFormat.Raw
    return key.public_key().public_bytes(*raw_format).hex()


def loopback_address(port: int) -> Address:
    """Returns a loopback address."""
    return Address("127.0.0.1", port)


def vm_settings(index: int = 0, required_signatures: int = 1) -> Settings:
    """Returns the settings of VM `index`, which trust the signers vesela and anton."""
    base = 20_000 + 10 * index
    return Settings(
        vm=f"vm{index}",
        failure_domain=DOMAINS[index % 3],
        platform=PlatformSettings(
            loopback_address(19_001), loopback_address(19_002), loopback_address(19_003)
        ),
        session_keys=(SessionKey("k1", "ab" * 32),),
        trust=Trust(
            tuple(Signer(name, public_key_hex(KEYS[name])) for name in ("vesela", "anton")),
            required_signatures,
        ),
        entry=EntrySettings(
            loopback_address(base), loopback_address(base + 1), loopback_address(base + 2)
        ),
        pool=PoolSettings(loopback_address(base + 3), loopback_address(base + 4)),
        controller=ControllerSettings(loopback_address(base + 5), loopback_address(base + 6)),
    )


def bundle(version: int = 1, previous: str = "", **changes: object) -> Bundle:
    """Returns a valid bundle with one group of three targets."""
    targets = tuple(
        Target(
            f"survey-{i}",
            DOMAINS[i],
            loopback_address(21_000 + 2 * i),
            loopback_address(21_001 + 2 * i),
        )
        for i in range(3)
    )
    value = Bundle(
        version=version,
        groups=(Group("survey", targets),),
        classes=(StatementClass("filings"), StatementClass("browsing", max_age_ms=2_000)),
        callers=(Caller("club", "ab" * 32, ("survey",), ("filings", "browsing")),),
        previous=previous,
    )
    return attrs.evolve(value, **changes)


def signed(value: Bundle, *signers: str) -> SignedBundle:
    """Signs a bundle, as vesela unless signers are given."""
    names = signers or ("vesela",)
    return SignedBundle(value, tuple(signing.sign(value, name, KEYS[name]) for name in names))
