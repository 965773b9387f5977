import gevent
from behave import given, then, when

from bench import schema
from bench.faults import ACTIONS
from bench.processes import wait_until
from features.steps.helpers import BUNDLE_S, LEAVING_S, WRITABLE_S, now

PAUSE_S = 0.02


def read(context, database, vm):
    session = context.field.session(vm)
    params = [session.name, session.name]
    return context.field.statement(
        session, database, schema.READ_OWN, params, access="read", kind="browsing"
    )


def served_by(answer):
    return (answer.body.get("served_by") or {}).get("target")


def read_again_and_again(context, database, vm):
    while context.reading:
        context.answers.append(read(context, database, vm))
        gevent.sleep(PAUSE_S)


def stop_readers(context):
    context.reading = False
    gevent.joinall(context.readers, raise_error=True)


@given('a replica of "{database}" that serves callers')
def find_replica(context, database):
    injector = context.field.injector
    context.replica = injector.target_of({"database": database, "role": "replica"})
    wait_until(
        lambda: served_by(read(context, database, "vm1")) == context.replica,
        WRITABLE_S,
        f"{context.replica} serves a read",
    )


@given('callers that read from "{database}" with a bounded age at every VM')
def start_readers(context, database):
    context.database, context.reading, context.answers = database, True, []
    context.readers = [
        gevent.spawn(read_again_and_again, context, database, vm)
        for vm in context.field.cluster.vms
    ]
    context.add_cleanup(stop_readers, context)


@when("a bundle names the replica as leaving")
def roll_leaving(context):
    found = ACTIONS.get("roll")(context.field.injector, {"leaving": context.database})
    context.rolled_at = found["at"]


@when(
    "callers have read {number:d} answers"
    " that they asked for later than {seconds:d} s after the roll"
)
def read_later(context, number, seconds):
    assert seconds == LEAVING_S

    def later():
        limit = context.rolled_at + seconds
        context.later = [answer for answer in context.answers if answer.sent_at > limit]
        return len(context.later) >= number

    wait_until(later, LEAVING_S + BUNDLE_S, f"{number} answers")
    stop_readers(context)
    assert now() > context.rolled_at + seconds


@then("the replica served none of these answers")
def check_left(context):
    found = [a for a in context.later if served_by(a) == context.replica]
    assert not found, found[:3]


@then("every answer of the callers was done")
def check_done(context):
    found = [a for a in context.answers if a.outcome != "done"]
    assert not found, found[:3]
