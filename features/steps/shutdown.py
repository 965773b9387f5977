import gevent
from behave import then, when

from bench.cluster import STOP_TIMEOUT_S
from bench.processes import wait_until
from features.steps.helpers import WRITABLE_S

REQUESTS = 2


def load(context, vm, cost):
    field = context.field
    context.in_flight += 1
    database = field.cluster.plan.databases[context.in_flight % 2]
    return field.write(field.session(vm), database, cost_ms=cost)


@when(
    'the {program} of "{vm}" gets SIGTERM while requests of {cost:d} ms are in flight at every VM'
)
def terminate(context, program, vm, cost):
    cluster, context.in_flight = context.field.cluster, 0
    process = cluster.processes.get(cluster.vms[vm].process_name(program))
    greenlets = [
        gevent.spawn(load, context, name, cost) for name in cluster.vms for _ in range(REQUESTS)
    ]
    wait_until(lambda: context.in_flight == len(greenlets), WRITABLE_S, "all requests are sent")
    # Half of a request's time: all have reached a pool and none has ended.
    gevent.sleep(cost / 2000)
    assert not any(greenlet.ready() for greenlet in greenlets)
    context.status = process.terminate(STOP_TIMEOUT_S)
    gevent.joinall(greenlets, raise_error=True)
    context.answers = [greenlet.value for greenlet in greenlets]


@then("it exits with 0")
def check_status(context):
    assert context.status == 0, context.status


@then("every request in flight was done")
def check_done(context):
    found = [
        (a.outcome, a.problem, a.body.get("detail"), round(a.ended_at - a.sent_at, 2))
        for a in context.answers
        if a.outcome != "done"
    ]
    assert not found, found
