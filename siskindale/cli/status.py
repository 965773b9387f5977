"""Processing of `siskindale status` and `siskindale audit`."""

import ipaddress
from pathlib import Path
from typing import Any

import gevent
import msgspec
from returns.result import Failure

from siskindale.bundles import audit
from siskindale.cli.bundles import audit_listing
from siskindale.cli.session import CommandError, Session, fail, open_store, valid
from siskindale.config.checks import load_checked_settings
from siskindale.exits import ExitStatus
from siskindale.models.settings import Address, Settings
from siskindale.output.listing import Listing
from siskindale.transport.http import HttpClient, identity_headers
from siskindale.transport.metrics import Purpose

READY = "/readyz"
STATUS = "/v1/operators/status"


def status(
    session: Session, settings: Path | None, addresses: list[str], timeout_s: float
) -> ExitStatus:
    """Lists the programs with their readiness; fails unless all of them are ready."""
    named = [("", _address(text)) for text in addresses]
    if settings is not None:
        named += _programs(valid(load_checked_settings(settings)))
    if not named:
        fail(ExitStatus.INVALID_INPUT, "name --settings or --address")
    jobs = [gevent.spawn(_ask, name, address, timeout_s) for name, address in named]
    rows = tuple(job.get() for job in jobs)
    columns = ("program", "address", "ready", "bundle_version", "degraded", "reasons", "status")
    width = len(columns) - (session.format == "human")  # The whole status is for scripts.
    session.show(Listing(columns[:width], tuple(row[:width] for row in rows)))
    return ExitStatus.SUCCESS if all(row[2] for row in rows) else ExitStatus.ERROR


def show_audit(session: Session, settings: Path, verify: bool) -> ExitStatus:
    """Lists all audit rows, or verifies their chain."""
    store = open_store(settings)
    head = store.head()
    rows = store.answered(store.platform.tables.scan(audit.AUDIT_TABLE))
    if not verify:
        session.show(audit_listing(tuple(audit.valid_rows(r for r in rows if not r.deleted))))
        return ExitStatus.SUCCESS
    findings = audit.verify(rows, head.head.version, head.audit_hash)
    if findings:
        raise CommandError(ExitStatus.ERROR, findings)
    session.show(Listing(("verified_rows", "head"), ((head.head.version, head.head.digest),)))
    return ExitStatus.SUCCESS


def _programs(settings: Settings) -> list[tuple[str, Address]]:
    return [
        (f"{settings.vm}/{name}", getattr(settings, name).health)
        for name in ("entry", "pool", "controller")
    ]


def _ask(name: str, address: Address, timeout_s: float) -> tuple[Any, ...]:
    client = HttpClient(address, identity_headers("operator", "siskindale"), Purpose.CONTROL)
    ready, problem = _get(client, READY, timeout_s)
    report, _ = _get(client, STATUS, timeout_s)
    client.close()
    reasons = (problem,) if ready is None else tuple(ready.get("reasons", ()))
    known = report or {}
    program = name or "/".join(known[key] for key in ("vm", "program") if key in known)
    return (
        program or "-",
        str(address),
        bool(ready and ready.get("ready")),
        known.get("bundle_version"),
        known.get("degraded"),
        reasons,
        report,
    )


def _get(client: HttpClient, path: str, timeout_s: float) -> tuple[dict[str, Any] | None, str]:
    """Returns the JSON document of a path, or None and why there is none."""
    answer = client.request("GET", path, b"", timeout_s)
    if isinstance(answer, Failure):
        return None, answer.failure().detail
    response = answer.unwrap()
    try:
        document = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        document = None
    if response.status == 404 or not isinstance(document, dict):
        return None, f"GET {path}: status {response.status}"
    return document, ""


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    try:
        return Address(str(ipaddress.ip_address(host.strip("[]"))), int(port))
    except ValueError:
        fail(ExitStatus.INVALID_INPUT, f"--address {text!r} is not IP:PORT")
