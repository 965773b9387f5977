from behave import given, then, when

from siskindale.models.group import LogPosition
from siskindale.models.session import Session


@given('a session at term {term:d} position {position:d} of group "{group}"')
def create_session(context, term, position, group):
    context.session = Session("club").advanced(group, LogPosition(term, position))


@when('it sees term {term:d} position {position:d} of group "{group}"')
def advance_session(context, term, position, group):
    context.session = context.session.advanced(group, LogPosition(term, position))


@then('its position in group "{group}" is term {term:d} position {position:d}')
def check_position(context, term, position, group):
    assert context.session.position(group) == LogPosition(term, position)
