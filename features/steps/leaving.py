import attrs
import gevent
from behave import given, then, when

from bench import schema
from bench.processes import wait_until
from features.steps.helpers import (
    BUNDLE_TIMEOUT_S,
    LEAVING_GRACE_S,
    WRITABLE_TIMEOUT_S,
    monotonic_s,
)
from siskindale.models.bundle import TargetState

READ_INTERVAL_S = 0.02


def read(context, database, vm):
    session = context.harness.session(vm)
    params = [session.name, session.name]
    return context.harness.post_statement(
        session, database, schema.READ_OWN, params, access="read", statement_class="browsing"
    )


def serving_target(answer):
    return (answer.body.get("served_by") or {}).get("target")


def read_repeatedly(context, database, vm):
    while context.reading:
        context.answers.append(read(context, database, vm))
        gevent.sleep(READ_INTERVAL_S)


def stop_readers(context):
    context.reading = False
    gevent.joinall(context.readers, raise_error=True)


@given('a replica of "{database}" that serves reads')
def find_replica(context, database):
    def replica_serves():
        served = read(context, database, "vm1").body.get("served_by") or {}
        context.replica = served.get("target")
        return served.get("role") == "replica"

    wait_until(replica_serves, WRITABLE_TIMEOUT_S, f"a replica of {database} serves a read")


def with_leaving_target(group, name):
    targets = tuple(
        attrs.evolve(t, state=TargetState.LEAVING) if t.name == name else t for t in group.targets
    )
    return attrs.evolve(group, targets=targets)


@given('callers that repeatedly read from "{database}" with a bounded age at every VM')
def start_readers(context, database):
    context.database, context.reading, context.answers = database, True, []
    context.readers = [
        gevent.spawn(read_repeatedly, context, database, vm) for vm in context.harness.cluster.vms
    ]
    context.add_cleanup(stop_readers, context)


@when("a bundle marks the replica as leaving")
def roll_leaving(context):
    cluster = context.harness.cluster
    groups = tuple(with_leaving_target(group, context.replica) for group in cluster.bundle.groups)
    cluster.bundle = cluster.operators.roll(attrs.evolve(cluster.bundle, groups=groups))
    context.rolled_at = monotonic_s()


@when(
    "callers have received {number:d} answers"
    " to reads sent more than {seconds:d} s after the roll"
)
def wait_for_later_answers(context, number, seconds):
    assert seconds == LEAVING_GRACE_S

    def enough_answers():
        limit = context.rolled_at + seconds
        context.later_answers = [answer for answer in context.answers if answer.sent_at > limit]
        return len(context.later_answers) >= number

    wait_until(enough_answers, LEAVING_GRACE_S + BUNDLE_TIMEOUT_S, f"{number} answers")
    stop_readers(context)
    assert monotonic_s() > context.rolled_at + seconds


@then("the replica served none of these reads")
def check_replica_unused(context):
    found = [a for a in context.later_answers if serving_target(a) == context.replica]
    assert not found, found[:3]


@then("every read succeeded")
def check_done(context):
    found = [a for a in context.answers if a.outcome != "done"]
    assert not found, found[:3]
