import gevent
from behave import then, when

from bench.cluster import STOP_TIMEOUT_S
from bench.processes import wait_until
from features.steps.helpers import WRITABLE_TIMEOUT_S

REQUESTS_PER_VM = 2


def send_write(context, vm, cost):
    harness = context.harness
    context.in_flight += 1
    database = harness.cluster.plan.databases[context.in_flight % 2]
    return harness.write(harness.session(vm), database, cost_ms=cost)


@when(
    'the {program} of "{vm}" receives SIGTERM'
    " while requests of {cost:d} ms are in flight at every VM"
)
def terminate(context, program, vm, cost):
    cluster, context.in_flight = context.harness.cluster, 0
    process = cluster.processes.get(cluster.vms[vm].process_name(program))
    greenlets = [
        gevent.spawn(send_write, context, name, cost)
        for name in cluster.vms
        for _ in range(REQUESTS_PER_VM)
    ]
    wait_until(
        lambda: context.in_flight == len(greenlets), WRITABLE_TIMEOUT_S, "all requests are sent"
    )
    # After half of a request's duration, all have reached a pool and none has ended.
    gevent.sleep(cost / 2000)
    assert not any(greenlet.ready() for greenlet in greenlets)
    context.status = process.terminate(STOP_TIMEOUT_S)
    gevent.joinall(greenlets, raise_error=True)
    context.answers = [greenlet.value for greenlet in greenlets]


@then("it exits with status 0")
def check_status(context):
    assert context.status == 0, context.status


@then("every request in flight succeeded")
def check_done(context):
    found = [
        (a.outcome, a.problem, a.body.get("detail"), round(a.ended_at - a.sent_at, 2))
        for a in context.answers
        if a.outcome != "done"
    ]
    assert not found, found
