from behave import then, when
from uuid6 import UUID

from bench.processes import wait_until
from features.steps.helpers import DEADLINE_HEADER, WRITABLE_TIMEOUT_S, run_concurrently

# Timestamp in 2001, older than any retention period of keys.
EXPIRED_MS = 1_000_000_000_000


def expired_key(number):
    """Returns a UUIDv7 with an expired timestamp, which is its first 48 bits in milliseconds."""
    return str(UUID(int=(EXPIRED_MS << 80) | number, version=7))


def send_writes(context, number, database, statement_class, headers):
    harness = context.harness

    def send(index):
        session = harness.session(f"vm{index % 3 + 1}")
        uid = session.next_uid()
        return uid, harness.write(
            session, database, uid, statement_class=statement_class, headers=headers(index)
        )

    calls = [lambda index=index: send(index) for index in range(number)]
    context.writes = dict(run_concurrently(*calls))


@when(
    'writes to "{database}" with a deadline of {deadline:d} ms are sent'
    " until {number:d} are refused as not run"
)
def send_with_deadline(context, database, deadline, number):
    """Sends until enough are refused; a write forwarded in time may have an unknown outcome."""
    headers = {DEADLINE_HEADER: str(deadline)}
    refused = {}

    def enough_refused():
        send_writes(context, number, database, "revisions", lambda _: headers)
        refused.update((u, a) for u, a in context.writes.items() if a.outcome == "not_run")
        return len(refused) >= number

    wait_until(enough_refused, WRITABLE_TIMEOUT_S, f"{number} writes are refused")
    context.writes = refused


@when('{number:d} writes to "{database}" are sent with a class that is not granted')
def send_with_ungranted_class(context, number, database):
    send_writes(context, number, database, "auctions", lambda _: {})


@when('{number:d} writes to "{database}" are sent with an expired key')
def send_with_expired_key(context, number, database):
    keys = lambda index: {"Idempotency-Key": expired_key(index)}  # noqa: E731
    send_writes(context, number, database, "filings", keys)


@then('all of them are refused as not run with the problem "{problem}"')
def check_refusals(context, problem):
    found = {(a.outcome, a.problem) for a in context.writes.values()}
    assert found == {("not_run", problem)}, found


@when('a later write to "{database}" is acknowledged')
def write_later(context, database):
    context.harness.wait_accepting_writes(database)


@then('none of the refused writes is in "{database}"')
def check_absent(context, database):
    counts = {uid: context.harness.count_events(database, uid) for uid in context.writes}
    assert not any(counts.values()), counts
