from behave import given, then, when

from features.steps.helpers import DEADLINE_MS


@given('{number:d} acknowledged writes to "{database}"')
def write_some(context, number, database):
    context.acknowledged, context.session = [], context.field.session()
    write_more(context, number, database)


@given('the primary of "{database}" is isolated from replicas and controllers but not from pools')
def isolate(context, database):
    context.primary = context.field.cluster.primary(database).name
    context.field.injector.apply("isolate", {"database": database, "target": context.primary})


@when('a write to "{database}" is sent with a deadline of {deadline:d} ms')
def write_to_isolated(context, database, deadline):
    headers = {DEADLINE_MS: str(deadline)}
    context.answer = context.field.write(context.field.session(), database, headers=headers)


@then("the write is not acknowledged")
def check_not_acknowledged(context):
    assert context.answer.outcome == "unknown", context.answer


@when('another target has become the primary of "{database}"')
def wait_failover(context, database):
    context.field.wait_other_primary(database, context.primary)
    context.field.wait_accepting_writes(database)


@when('{number:d} more writes to "{database}" are acknowledged')
def write_more(context, number, database):
    for _ in range(number):
        uid = context.session.next_uid()
        answer = context.field.write(context.session, database, uid)
        assert answer.outcome == "done", answer
        context.acknowledged.append(uid)


@then('the new primary of "{database}" has every acknowledged write once')
def check_writes(context, database):
    field = context.field
    assert field.cluster.primary(database).name != context.primary
    counts = {uid: field.count(database, uid) for uid in context.acknowledged}
    assert all(count == 1 for count in counts.values()), counts
