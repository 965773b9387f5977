from behave import given, then, when
from uuid6 import uuid7

from bench.processes import wait_until
from features.steps.helpers import DEADLINE_HEADER, WRITABLE_TIMEOUT_S

KEY_HEADER = "Idempotency-Key"


def write_keyed(context, vm, headers=None):
    """Sends a keyed write; repeated calls send the same request with the same key."""
    context.session.vm = vm
    context.session.seqs.clear()
    return context.harness.write(
        context.session,
        context.database,
        context.uid,
        statement_class="filings",
        headers={KEY_HEADER: context.key, **(headers or {})},
    )


def prepare_keyed_write(context, database, vm):
    context.session, context.database = context.harness.session(vm), database
    context.uid, context.key = context.session.next_uid(), str(uuid7())


@given('a keyed write to "{database}" at "{vm}" that is acknowledged')
def write_acknowledged(context, database, vm):
    context.primary = context.harness.cluster.primary(database).name
    prepare_keyed_write(context, database, vm)
    answer = write_keyed(context, vm)
    assert answer.outcome == "done", answer


@given('a keyed write to "{database}" at "{vm}" of unknown outcome')
def write_unknown(context, database, vm):
    prepare_keyed_write(context, database, vm)
    answer = write_keyed(context, vm, {DEADLINE_HEADER: "400"})
    assert answer.outcome == "unknown", answer


@when('the primary of "{database}" is killed')
def kill_primary(context, database):
    context.harness.cluster.groups[database].process(context.primary).kill()


@when('the keyed write is repeated at "{vm}" until its outcome is known')
def repeat_until_done(context, vm):
    def is_done():
        context.answer = write_keyed(context, vm)
        return context.answer.outcome == "done"

    wait_until(is_done, WRITABLE_TIMEOUT_S, "the keyed write is done")
    assert context.session.vm == vm, "the session was moved to another entry"


@then('the keyed write is in "{database}" exactly once')
def check_once(context, database):
    assert context.harness.count_events(database, context.uid) == 1
    assert context.answer.cell(0) == context.uid, context.answer
