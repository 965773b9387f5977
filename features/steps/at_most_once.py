from behave import given, then, when
from uuid6 import uuid7

from bench.processes import wait_until
from features.steps.helpers import DEADLINE_MS, WRITABLE_S

KEY = "Idempotency-Key"


def write_keyed(context, vm, headers=None):
    """Sends the same request with the same key each time."""
    context.session.vm = vm
    context.session.seqs.clear()
    return context.field.write(
        context.session,
        context.database,
        context.uid,
        kind="filings",
        headers={KEY: context.key, **(headers or {})},
    )


def start_keyed(context, database, vm):
    context.session, context.database = context.field.session(vm), database
    context.uid, context.key = context.session.next_uid(), str(uuid7())


@given('a keyed write to "{database}" at "{vm}" that is acknowledged')
def write_acknowledged(context, database, vm):
    context.primary = context.field.cluster.primary(database).name
    start_keyed(context, database, vm)
    answer = write_keyed(context, vm)
    assert answer.outcome == "done", answer


@given('a keyed write to "{database}" at "{vm}" of unknown outcome')
def write_unknown(context, database, vm):
    start_keyed(context, database, vm)
    answer = write_keyed(context, vm, {DEADLINE_MS: "400"})
    assert answer.outcome == "unknown", answer


@when('the primary of "{database}" is killed')
def kill_primary(context, database):
    context.field.cluster.groups[database].process(context.primary).kill()


@when('the keyed write is repeated at "{vm}" until its outcome is known')
def repeat(context, vm):
    def done():
        context.answer = write_keyed(context, vm)
        return context.answer.outcome == "done"

    wait_until(done, WRITABLE_S, "the keyed write is done")
    assert context.session.vm == vm, "the session was moved to another entry"


@then('the keyed write is in "{database}" once')
def check_once(context, database):
    assert context.field.count(database, context.uid) == 1
    assert context.answer.cell(0) == context.uid, context.answer
