from behave import then, when
from uuid6 import UUID

from bench.processes import wait_until
from features.steps.helpers import DEADLINE_MS, WRITABLE_S, together

# Time of a UUIDv7 in 2001, older than any retention period.
EXPIRED_MS = 1_000_000_000_000


def expired_key(number):
    """Returns a UUIDv7 whose first 48 bits are the time in milliseconds."""
    return str(UUID(int=(EXPIRED_MS << 80) | number, version=7))


def send_writes(context, number, database, kind, headers):
    field = context.field

    def send(index):
        session = field.session(f"vm{index % 3 + 1}")
        uid = session.next_uid()
        return uid, field.write(session, database, uid, kind=kind, headers=headers(index))

    calls = [lambda index=index: send(index) for index in range(number)]
    context.writes = dict(together(*calls))


@when(
    'writes to "{database}" with a deadline of {deadline:d} ms are sent'
    " until {number:d} are refused as not run"
)
def send_late(context, database, deadline, number):
    """A write that left the entry within the deadline may truthfully end as unknown."""
    headers = {DEADLINE_MS: str(deadline)}
    refused = {}

    def enough():
        send_writes(context, number, database, "revisions", lambda _: headers)
        refused.update((u, a) for u, a in context.writes.items() if a.outcome == "not_run")
        return len(refused) >= number

    wait_until(enough, WRITABLE_S, f"{number} writes are refused")
    context.writes = refused


@when('{number:d} writes to "{database}" are sent with a class that is not granted')
def send_class(context, number, database):
    send_writes(context, number, database, "auctions", lambda _: {})


@when('{number:d} writes to "{database}" are sent with an expired key')
def send_expired(context, number, database):
    keys = lambda index: {"Idempotency-Key": expired_key(index)}  # noqa: E731
    send_writes(context, number, database, "filings", keys)


@then('all of them are refused as not run because of "{problem}"')
def check_refusals(context, problem):
    found = {(a.outcome, a.problem) for a in context.writes.values()}
    assert found == {("not_run", problem)}, found


@when('a later write to "{database}" is acknowledged')
def write_later(context, database):
    context.field.wait_accepting_writes(database)


@then('none of the refused writes is in "{database}"')
def check_absent(context, database):
    counts = {uid: context.field.count(database, uid) for uid in context.writes}
    assert not any(counts.values()), counts
