from behave import given, then, when

from bench import schema
from features.steps.helpers import DEADLINE_MS, together


def write_in_transaction(context, vm, uid, cost_ms=0.0):
    session = context.field.session(vm)
    body = {
        "sql": schema.with_cost(schema.WRITE_EVENT, cost_ms),
        "params": [uid, session.name, 1],
    }
    return context.field.callers.post(session, f"{context.path}/statements", body, {})


def finish(context, verb):
    answer = context.field.callers.post(context.field.session(), f"{context.path}/{verb}", {}, {})
    assert answer.outcome == "done", answer


@given('an open transaction in "{database}" begun at "{vm}"')
def begin(context, database, vm):
    context.session, context.database = context.field.session(vm), database
    path = f"/v1/databases/{database}/transactions"
    answer = context.field.callers.post(context.session, path, {"class": "revisions"}, {})
    assert answer.outcome == "done", answer
    context.path = f"/v1/transactions/{answer.body['transaction']}"


@when('two callers write {cost:d} ms long in the transaction at "{vm}" and "{other}" at once')
def write_twice(context, cost, vm, other):
    uids = [context.session.next_uid() for _ in range(2)]
    answers = together(
        lambda: write_in_transaction(context, vm, uids[0], cost),
        lambda: write_in_transaction(context, other, uids[1], cost),
    )
    context.answers = dict(zip(uids, answers, strict=True))


@then('one write is done and the other is refused as "{problem}"')
def check_refused(context, problem):
    answers = sorted(context.answers.values(), key=lambda answer: answer.outcome)
    assert [a.outcome for a in answers] == ["done", "not_run"], answers
    assert (answers[1].status, answers[1].problem) == (409, problem), answers[1]


@when("the transaction is committed")
def commit(context):
    finish(context, "commit")


@when("the transaction is rolled back")
def roll_back(context):
    finish(context, "rollback")


@then('only the write that was done is in "{database}"')
def check_rows(context, database):
    expected = {uid: int(answer.outcome == "done") for uid, answer in context.answers.items()}
    assert {uid: context.field.count(database, uid) for uid in expected} == expected


@when("a write in the transaction is done")
def write_inside(context):
    context.inside = context.session.next_uid()
    answer = write_in_transaction(context, "vm1", context.inside)
    assert answer.outcome == "done", answer


@when('a write outside the transaction is sent at "{vm}" with a deadline of {deadline:d} ms')
def write_outside(context, vm, deadline):
    session = context.field.session(vm)
    context.outside = session.next_uid()
    headers = {DEADLINE_MS: str(deadline)}
    context.answer = context.field.write(
        session, context.database, context.outside, headers=headers
    )


@then('the write in the transaction is not in "{database}"')
def check_inside(context, database):
    assert context.field.count(database, context.inside) == 0


@then('the write outside it is in "{database}" at most once, and once if it was acknowledged')
def check_outside(context, database):
    count = context.field.count(database, context.outside)
    allowed = {"done": (1,), "not_run": (0,)}.get(context.answer.outcome, (0, 1))
    assert count in allowed, (count, context.answer)
