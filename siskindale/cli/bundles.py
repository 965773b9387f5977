"""Implementation of `siskindale bundle`."""

import uuid
from datetime import UTC, datetime
from pathlib import Path

import gevent
from returns.result import Failure

from siskindale.bundles import rolling, signing
from siskindale.bundles.audit import AuditRow
from siskindale.bundles.heads import Head
from siskindale.bundles.rolling import NotAccepted, Outcome, Roller, RollRequest, Unknown
from siskindale.cli import drafts, keys
from siskindale.cli.command import CommandError, Console, Store, fail, open_store, require_valid
from siskindale.exits import ExitStatus
from siskindale.models.bundle import Bundle, SignedBundle
from siskindale.output.listing import Listing


def new(console: Console, settings: Path, out: Path | None) -> ExitStatus:
    """Prints the draft of the next version or writes it to a file."""
    store = open_store(settings)
    head = store.read_head().head
    if head.version:
        draft = drafts.next_draft(store.read_bundle(head.digest).bundle, head.digest)
    else:
        draft = drafts.first_draft()
    _write_output(console, drafts.to_text(draft), out)
    return ExitStatus.SUCCESS


def check(console: Console, file: Path, settings: Path | None) -> ExitStatus:
    """Checks a bundle, and its change from the head if settings are given."""
    previous = _bundle_in_effect(settings)
    bundle = _read_checked(file, previous).bundle
    previous_note = f", follows version {previous.version}" if previous else ""
    console.print_text(f"{file}: ok: version {bundle.version}{previous_note}")
    return ExitStatus.SUCCESS


def diff(console: Console, file: Path, other: Path | None, settings: Path | None) -> ExitStatus:
    """Lists the differences of a file from another file or from the head."""
    after = require_valid(drafts.read_draft(file)).bundle
    if other is not None:
        before = require_valid(drafts.read_draft(other)).bundle
    elif settings is not None:
        before = _bundle_in_effect(settings)
    else:
        fail(ExitStatus.INVALID_INPUT, "pass a second file, or --settings to compare with the head")
    console.print_listing(drafts.list_differences(before, after))
    return ExitStatus.SUCCESS


def sign(
    console: Console, file: Path, key: Path, out: Path, settings: Path | None, previous: Path | None
) -> ExitStatus:
    """Adds a signature after all checks have passed."""
    signer, private = keys.read(key)
    draft = require_valid(drafts.read_draft(file))
    before = (
        require_valid(drafts.read_draft(previous)).bundle
        if previous
        else _bundle_in_effect(settings)
    )
    if before is None and draft.bundle.version > 1:
        fail(
            ExitStatus.INVALID_INPUT,
            f"{file}: version {draft.bundle.version} is checked against the previous version;"
            " pass --settings or --previous",
        )
    checked = _read_checked(file, before)
    others = tuple(s for s in checked.signatures if s.signer != signer)
    signatures = (*others, signing.sign(checked.bundle, signer, private))
    signed = SignedBundle(checked.bundle, signatures)
    _write_output(console, drafts.to_text(signed), out)
    names = ", ".join(s.signer for s in signatures)
    console.print_text(f"{out}: version {signed.bundle.version}, signed by {names}")
    return ExitStatus.SUCCESS


def roll(
    console: Console,
    file: Path,
    settings: Path,
    operator: str,
    timeout_s: float,
    roll_id: str | None,
) -> ExitStatus:
    """Rolls a signed bundle and reports the outcome: accepted, not accepted or unknown."""
    store = open_store(settings)
    signed = require_valid(drafts.read_draft(file))
    signers = _require_signers(file, signed, store)
    findings = drafts.check_draft(signed, str(file), None)
    if findings:
        raise CommandError(ExitStatus.INVALID_INPUT, findings)
    request = RollRequest(
        signed, signers, operator, roll_id or uuid.uuid4().hex, timeout_s, roll_id is not None
    )
    roller = Roller(request, store.platform, console.environment.clock, gevent.sleep)
    _check_change(file, signed, store, resumed=request.resumed)
    return _report_outcome(console, file, roller.roll())


def show(
    console: Console, settings: Path, version: int | None, roll_id: str | None, full: bool
) -> ExitStatus:
    """Shows the head, an older version or the outcome of a roll."""
    store = open_store(settings)
    if roll_id is not None:
        found: Head | None = store.require_answer(rolling.read_roll(store.platform, roll_id))
        if found is None:
            fail(ExitStatus.OUTCOME_UNKNOWN, f"roll {roll_id} has not taken effect so far")
        columns = ("roll", "version", "digest")
        console.print_listing(Listing(columns, ((roll_id, found.version, found.digest),)))
        return ExitStatus.SUCCESS
    head = _head_at_version(store, version)
    signed = store.read_bundle(head.digest)
    if full:
        console.print_text(drafts.to_text(signed))
    else:
        signers = signing.valid_signers(signed, store.settings.trust)
        row = rolling.read_audit_row(store.platform, head.version)
        console.print_listing(_summary_listing(signed, signers, head, row))
    return ExitStatus.SUCCESS


def history(console: Console, settings: Path, limit: int) -> ExitStatus:
    """Lists the latest rolls, newest first."""
    store = open_store(settings)
    version = store.read_head().head.version
    rows = (
        rolling.read_audit_row(store.platform, n)
        for n in range(version, max(0, version - limit), -1)
    )
    console.print_listing(audit_listing(tuple(row for row in rows if row is not None)))
    return ExitStatus.SUCCESS


def audit_listing(rows: tuple[AuditRow, ...]) -> Listing:
    """Returns a listing of audit rows."""
    columns = ("version", "at", "operator", "action", "signers", "before", "after")
    return Listing(
        columns,
        tuple(
            (
                r.sequence,
                _format_time(r.at),
                r.operator,
                r.action,
                r.signers,
                r.before[:12],
                r.after[:12],
            )
            for r in rows
        ),
        "no bundle has been rolled yet",
    )


def _summary_listing(
    signed: SignedBundle, signers: tuple[str, ...], head: Head, row: AuditRow | None
) -> Listing:
    bundle = signed.bundle
    columns = ("version", "digest", "signers", "operator", "at", "groups", "targets", "callers")
    values = (
        bundle.version,
        head.digest,
        signers,
        row.operator if row else None,
        _format_time(row.at) if row else None,
        len(bundle.groups),
        sum(len(group.targets) for group in bundle.groups),
        len(bundle.callers),
    )
    return Listing(columns, (values,))


def _report_outcome(console: Console, file: Path, outcome: Outcome) -> ExitStatus:
    if isinstance(outcome, NotAccepted):
        status = ExitStatus.REFUSED if outcome.conflict else ExitStatus.ERROR
        fail(status, f"{file}: not accepted: {outcome.reason}; {outcome.remedy}")
    if isinstance(outcome, Unknown):
        fail(
            ExitStatus.OUTCOME_UNKNOWN,
            f"{file}: unknown whether the bundle was accepted: {outcome.reason};"
            f" run the command again with --roll-id {outcome.roll_id}",
        )
    head = outcome.head
    if console.format == "json":
        rows = (("accepted", head.version, head.digest),)
        console.print_listing(Listing(("outcome", "version", "digest"), rows))
    else:
        console.print_text(f"{file}: accepted as version {head.version}, digest {head.digest}")
    return ExitStatus.SUCCESS


def _require_signers(file: Path, signed: SignedBundle, store: Store) -> tuple[str, ...]:
    trust = store.settings.trust
    signers = signing.valid_signers(signed, trust)
    if len(signers) < trust.required_signatures:
        fail(
            ExitStatus.REFUSED,
            f"{file}: {len(signers)} of {trust.required_signatures} required signatures are valid;"
            f" trusted signers: {', '.join(s.name for s in trust.signers)}",
        )
    return signers


def _check_change(file: Path, signed: SignedBundle, store: Store, resumed: bool) -> None:
    """Checks the change from the head if the bundle follows it; else the roller refuses it."""
    head = rolling.read_head(store.platform).value_or(None)
    if resumed or head is None or not head.head.version:
        return
    if head.head.digest != signed.bundle.previous:
        return
    body = store.platform.objects.get(head.head.digest).value_or(None)
    opened = signing.verify_body(body or b"", head.head.digest, store.settings.trust)
    if isinstance(opened, Failure):
        return
    findings = drafts.check_draft(signed, str(file), opened.unwrap().bundle)
    if findings:
        raise CommandError(ExitStatus.INVALID_INPUT, findings)


def _head_at_version(store: Store, version: int | None) -> Head:
    head: Head = store.read_head().head
    if not head.version:
        fail(ExitStatus.ERROR, "no bundle has been rolled yet")
    if version is None or version == head.version:
        return head
    row = rolling.read_audit_row(store.platform, version)
    if row is None:
        fail(ExitStatus.INVALID_INPUT, f"there is no version {version}; the head is {head.version}")
    return Head(version, row.after)


def _bundle_in_effect(settings: Path | None) -> Bundle | None:
    current = open_store(settings).read_current_bundle() if settings else None
    return current.bundle if current else None


def _read_checked(file: Path, previous: Bundle | None) -> SignedBundle:
    signed: SignedBundle = require_valid(drafts.read_draft(file))
    findings = drafts.check_draft(signed, str(file), previous)
    if findings:
        raise CommandError(ExitStatus.INVALID_INPUT, findings)
    return signed


def _write_output(console: Console, text: str, out: Path | None) -> None:
    if out is None:
        console.print_text(text)
        return
    try:
        out.write_text(text + "\n", encoding="utf-8")
    except OSError as error:
        fail(ExitStatus.ERROR, f"{out}: {error.strerror}")


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
