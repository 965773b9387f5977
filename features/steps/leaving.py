import attrs
import gevent
from behave import given, then, when

from bench import schema
from bench.processes import wait_until
from features.steps.helpers import BUNDLE_S, LEAVING_S, WRITABLE_S, now
from siskindale.models.bundle import TargetState

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
    def found():
        served = read(context, database, "vm1").body.get("served_by") or {}
        context.replica = served.get("target")
        return served.get("role") == "replica"

    wait_until(found, WRITABLE_S, f"a replica of {database} serves a read")


def without(group, name):
    targets = tuple(
        attrs.evolve(t, state=TargetState.LEAVING) if t.name == name else t for t in group.targets
    )
    return attrs.evolve(group, targets=targets)


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
    cluster = context.field.cluster
    groups = tuple(without(group, context.replica) for group in cluster.bundle.groups)
    cluster.bundle = cluster.operators.roll(attrs.evolve(cluster.bundle, groups=groups))
    context.rolled_at = now()


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
