from behave import given, then, when

from features.steps.helpers import DEADLINE_HEADER


@given('{number:d} acknowledged writes to "{database}"')
def write_events(context, number, database):
    context.acknowledged, context.session = [], context.harness.session()
    write_more_events(context, number, database)


@given('the primary of "{database}" is isolated from replicas and controllers but not from pools')
def isolate_primary(context, database):
    context.primary = context.harness.cluster.primary(database).name
    context.harness.injector.apply("isolate", {"database": database, "target": context.primary})


@when('a write to "{database}" is sent with a deadline of {deadline:d} ms')
def write_to_isolated(context, database, deadline):
    headers = {DEADLINE_HEADER: str(deadline)}
    context.answer = context.harness.write(context.harness.session(), database, headers=headers)


@then("the write is not acknowledged")
def check_not_acknowledged(context):
    assert context.answer.outcome == "unknown", context.answer


@when('another target has become the primary of "{database}"')
def wait_failover(context, database):
    context.harness.wait_other_primary(database, context.primary)
    context.harness.wait_accepting_writes(database)


@when('{number:d} more writes to "{database}" are acknowledged')
def write_more_events(context, number, database):
    for _ in range(number):
        uid = context.session.next_uid()
        answer = context.harness.write(context.session, database, uid)
        assert answer.outcome == "done", answer
        context.acknowledged.append(uid)


@then('the new primary of "{database}" has every acknowledged write exactly once')
def check_acknowledged_writes(context, database):
    harness = context.harness
    assert harness.cluster.primary(database).name != context.primary
    counts = {uid: harness.count_events(database, uid) for uid in context.acknowledged}
    assert all(count == 1 for count in counts.values()), counts
