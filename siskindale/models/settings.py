"""Settings of a VM: each program reads the common part of the file and its own section."""

import attrs

from siskindale.models.address import Address


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services; `timeout_ms` limits one request.

    `client` identifies this VM in requests, for the platform's logs.
    """

    tables: Address
    objects: Address
    live_list: Address
    driver: str = "http"
    timeout_ms: int = 1000
    client: str = ""


@attrs.frozen
class SessionKey:
    """HMAC key for session tokens; `secret` is hexadecimal, 32 bytes or more."""

    id: str
    secret: str


@attrs.frozen
class Signer:
    """Operator whose bundle signatures are trusted; `public_key` is Ed25519 in hexadecimal."""

    name: str
    public_key: str


@attrs.frozen
class Trust:
    """Trusted signers and the number of different signers that a bundle needs."""

    signers: tuple[Signer, ...]
    required_signatures: int = 1


@attrs.frozen
class EntrySettings:
    """Addresses and limits of `siskindale-entry`."""

    listen: Address
    inbox: Address
    health: Address
    max_body_bytes: int = 1 << 20
    max_callers: int = 10_000
    default_deadline_ms: int = 5_000
    max_deadline_ms: int = 60_000


@attrs.frozen
class PoolSettings:
    """Addresses and limits of `siskindale-pool`."""

    inbox: Address
    health: Address
    target_driver: str = "http"
    max_result_bytes: int = 16 << 20
    max_transactions: int = 1_000


@attrs.frozen
class ControllerSettings:
    """Addresses of `siskindale-controller`."""

    inbox: Address
    health: Address
    target_driver: str = "http"


@attrs.frozen
class Settings:
    """Settings of all programs of one VM.

    The first session key signs and all of them verify, so that keys can be rotated without
    interruption.
    """

    vm: str
    failure_domain: str
    platform: PlatformSettings
    session_keys: tuple[SessionKey, ...]
    trust: Trust
    entry: EntrySettings
    pool: PoolSettings
    controller: ControllerSettings
    region: str = "default"
    log_level: str = "info"
