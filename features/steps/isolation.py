from behave import given, then, when

from bench import schema
from features.steps.helpers import DEADLINE_HEADER, run_concurrently


def write_in_transaction(context, vm, uid, cost_ms=0.0):
    session = context.harness.session(vm)
    body = {
        "sql": schema.with_cost(schema.WRITE_EVENT, cost_ms),
        "params": [uid, session.name, 1],
    }
    return context.harness.callers.post(session, f"{context.transaction_path}/statements", body, {})


def finish_transaction(context, verb):
    answer = context.harness.callers.post(
        context.harness.session(), f"{context.transaction_path}/{verb}", {}, {}
    )
    assert answer.outcome == "done", answer


@given('an open transaction in "{database}" begun at "{vm}"')
def begin_transaction(context, database, vm):
    context.session, context.database = context.harness.session(vm), database
    path = f"/v1/databases/{database}/transactions"
    answer = context.harness.callers.post(context.session, path, {"class": "revisions"}, {})
    assert answer.outcome == "done", answer
    context.transaction_path = f"/v1/transactions/{answer.body['transaction']}"


@when(
    "two callers concurrently send writes of {cost:d} ms"
    ' in the transaction at "{vm}" and "{other}"'
)
def write_twice(context, cost, vm, other):
    uids = [context.session.next_uid() for _ in range(2)]
    answers = run_concurrently(
        lambda: write_in_transaction(context, vm, uids[0], cost),
        lambda: write_in_transaction(context, other, uids[1], cost),
    )
    context.answers = dict(zip(uids, answers, strict=True))


@then('one write succeeds and the other is refused as "{problem}"')
def check_refused(context, problem):
    answers = sorted(context.answers.values(), key=lambda answer: answer.outcome)
    assert [a.outcome for a in answers] == ["done", "not_run"], answers
    assert (answers[1].status, answers[1].problem) == (409, problem), answers[1]


@when("the transaction is committed")
def commit_transaction(context):
    finish_transaction(context, "commit")


@when("the transaction is rolled back")
def roll_back(context):
    finish_transaction(context, "rollback")


@then('only the successful write is in "{database}"')
def check_rows(context, database):
    expected = {uid: int(answer.outcome == "done") for uid, answer in context.answers.items()}
    assert {uid: context.harness.count_events(database, uid) for uid in expected} == expected


@when("a write in the transaction succeeds")
def write_inside(context):
    context.inside_uid = context.session.next_uid()
    answer = write_in_transaction(context, "vm1", context.inside_uid)
    assert answer.outcome == "done", answer


@when('a write outside the transaction is sent at "{vm}" with a deadline of {deadline:d} ms')
def write_outside(context, vm, deadline):
    session = context.harness.session(vm)
    context.outside_uid = session.next_uid()
    headers = {DEADLINE_HEADER: str(deadline)}
    context.answer = context.harness.write(
        session, context.database, context.outside_uid, headers=headers
    )


@then('the write in the transaction is not in "{database}"')
def check_inside(context, database):
    assert context.harness.count_events(database, context.inside_uid) == 0


@then(
    'the write outside it is in "{database}" at most once,'
    " and exactly once if it was acknowledged"
)
def check_outside(context, database):
    count = context.harness.count_events(database, context.outside_uid)
    allowed = {"done": (1,), "not_run": (0,)}.get(context.answer.outcome, (0, 1))
    assert count in allowed, (count, context.answer)
