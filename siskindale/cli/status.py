"""Implementation of `siskindale status` and `siskindale audit`."""

import ipaddress
from pathlib import Path
from typing import Any

import gevent
import msgspec
from returns.result import Failure

from siskindale.bundles import audit
from siskindale.cli.bundles import audit_listing
from siskindale.cli.command import CommandError, Console, fail, open_store, require_valid
from siskindale.config.checks import load_checked_settings
from siskindale.exits import ExitStatus
from siskindale.models.settings import Address, Settings
from siskindale.output.listing import Listing
from siskindale.transport.http import HttpClient, identity_headers
from siskindale.transport.metrics import TrafficPurpose

READINESS_PATH = "/readyz"
STATUS_PATH = "/v1/operators/status"


def status(
    console: Console, settings: Path | None, addresses: list[str], timeout_s: float
) -> ExitStatus:
    """Lists the programs with their readiness; returns `ERROR` unless all of them are ready."""
    programs = [("", _parse_address(text)) for text in addresses]
    if settings is not None:
        programs += _health_addresses(require_valid(load_checked_settings(settings)))
    if not programs:
        fail(ExitStatus.INVALID_INPUT, "pass --settings or --address")
    greenlets = [
        gevent.spawn(_query_program, name, address, timeout_s) for name, address in programs
    ]
    rows = tuple(greenlet.get() for greenlet in greenlets)
    columns = ("program", "address", "ready", "bundle_version", "degraded", "reasons", "status")
    column_count = len(columns) - (console.format == "human")  # The full status is for scripts.
    console.print_listing(
        Listing(columns[:column_count], tuple(row[:column_count] for row in rows))
    )
    return ExitStatus.SUCCESS if all(row[2] for row in rows) else ExitStatus.ERROR


def show_audit(console: Console, settings: Path, verify: bool) -> ExitStatus:
    """Lists all audit rows, or verifies their hash chain."""
    store = open_store(settings)
    head = store.read_head()
    rows = store.require_answer(store.platform.tables.scan(audit.AUDIT_TABLE))
    if not verify:
        console.print_listing(
            audit_listing(tuple(audit.valid_rows(r for r in rows if not r.deleted)))
        )
        return ExitStatus.SUCCESS
    findings = audit.verify(rows, head.head.version, head.audit_hash)
    if findings:
        raise CommandError(ExitStatus.ERROR, findings)
    console.print_listing(
        Listing(("verified_rows", "head"), ((head.head.version, head.head.digest),))
    )
    return ExitStatus.SUCCESS


def _health_addresses(settings: Settings) -> list[tuple[str, Address]]:
    return [
        (f"{settings.vm}/{name}", getattr(settings, name).health)
        for name in ("entry", "pool", "controller")
    ]


def _query_program(name: str, address: Address, timeout_s: float) -> tuple[Any, ...]:
    client = HttpClient(address, identity_headers("operator", "siskindale"), TrafficPurpose.CONTROL)
    ready, problem = _get_document(client, READINESS_PATH, timeout_s)
    report, _ = _get_document(client, STATUS_PATH, timeout_s)
    client.close()
    reasons = (problem,) if ready is None else tuple(ready.get("reasons", ()))
    status_fields = report or {}
    program = name or "/".join(
        status_fields[key] for key in ("vm", "program") if key in status_fields
    )
    return (
        program or "-",
        str(address),
        bool(ready and ready.get("ready")),
        status_fields.get("bundle_version"),
        status_fields.get("degraded"),
        reasons,
        report,
    )


def _get_document(
    client: HttpClient, path: str, timeout_s: float
) -> tuple[dict[str, Any] | None, str]:
    """Returns the JSON document at a path, or None and the reason for its absence."""
    result = client.request("GET", path, b"", timeout_s)
    if isinstance(result, Failure):
        return None, result.failure().detail
    response = result.unwrap()
    try:
        document = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        document = None
    if response.status == 404 or not isinstance(document, dict):
        return None, f"GET {path}: status {response.status}"
    return document, ""


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        return Address(str(ipaddress.ip_address(host.strip("[]"))), int(port))
    except ValueError:
        fail(ExitStatus.INVALID_INPUT, f"--address {text!r} is not IP:PORT")
