from behave import given, then, when

from bench import schema
from siskindale.models.group import LogPosition, Role
from siskindale.models.session import Session


@given('a session at term {term:d} position {position:d} of group "{group}"')
def create_session(context, term, position, group):
    context.session = Session("club").with_position(group, LogPosition(term, position))


@when('it observes term {term:d} position {position:d} of group "{group}"')
def observe_position(context, term, position, group):
    context.session = context.session.with_position(group, LogPosition(term, position))


@then('its position in group "{group}" is term {term:d} position {position:d}')
def check_position(context, term, position, group):
    assert context.session.position(group) == LogPosition(term, position)


@given('the replicas of "{database}" apply entries with a delay of {seconds:d} s')
def set_apply_lag(context, database, seconds):
    group = context.harness.cluster.groups[database]
    for target in group.group.targets:
        group.set_faults(target.name, apply_lag_ms=seconds * 1000)


@given('a session at "{vm}"')
def start_session(context, vm):
    context.session = context.harness.session(vm)


@when('it writes to "{database}"')
def write(context, database):
    context.written = context.harness.write(context.session, database)
    assert context.written.outcome == "done", context.written


@when('it reads "{database}" at "{vm}" with a bounded age')
def read_elsewhere(context, database, vm):
    context.session.vm = vm
    params = ["nonce", context.session.name]
    context.answer = context.harness.post_statement(
        context.session,
        database,
        schema.READ_OWN,
        params,
        access="read",
        statement_class="browsing",
    )
    context.statuses = context.harness.cluster.statuses(database)


@then("it sees its write")
def check_own_write(context):
    assert context.session.vm == "vm2", "the session was moved to another entry"
    assert context.answer.cell(1) == 1, context.answer


@then('no replica of "{database}" has applied the write')
def check_not_applied(context, database):
    primary = next(s for s in context.statuses if s.role is Role.PRIMARY)
    replicas = [s for s in context.statuses if s.role is Role.REPLICA]
    assert replicas, context.statuses
    assert all(s.applied_position < primary.applied_position for s in replicas), context.statuses
