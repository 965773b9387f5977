import socket

import gevent
import msgspec
from behave import given, then, when
from gevent import socket as gevent_socket

from bench import schema
from bench.cluster import CALLER_TOKEN
from bench.processes import wait_until
from features.steps.helpers import DEADLINE_HEADER, run_concurrently

RECEIVE_BYTES = 4096
CUT_TIMEOUT_S = 10.0
# Each caller must receive 4 answers; the deadline of one request is 4 s.
ANSWERS_TIMEOUT_S = 4 * 4.0


def read_large(harness, database, vm, rows, headers=None):
    """Returns the caller's nonce, the number of requested rows and the answer."""
    session = harness.session(vm)
    answer = harness.post_statement(
        session,
        database,
        schema.READ_LARGE,
        [rows, session.name],
        access="read",
        statement_class="browsing",
        headers=headers,
    )
    return session.name, rows, answer


def is_complete(nonce, rows, answer):
    return answer.rows == [[nonce, number] for number in range(1, rows + 1)]


def reset_during_answer(harness, database, vm, rows):
    """Sends a request, reads the start of the answer and resets the connection."""
    address = harness.cluster.vms[vm].settings.entry.listen
    body = {
        "sql": schema.READ_LARGE,
        "params": [rows, "cut"],
        "access": "read",
        "class": "browsing",
    }
    content = msgspec.json.encode(body)
    head = (
        f"POST /v1/databases/{database}/statements HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {CALLER_TOKEN}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    with gevent_socket.create_connection((address.host, address.port), CUT_TIMEOUT_S) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        connection.sendall(head.encode() + content)
        first = connection.recv(RECEIVE_BYTES)
        # With a linger time of zero, closing the socket sends a reset.
        linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return first


def read_repeatedly(context, database, vm, rows, answers):
    while context.reading:
        answers.append(read_large(context.harness, database, vm, rows))


@given('{number:d} callers that repeatedly read {rows:d} rows each from "{database}" at "{vm}"')
def start_readers(context, number, rows, database, vm):
    context.database, context.reading = database, True
    context.answers = [[] for _ in range(number)]
    context.readers = [
        gevent.spawn(read_repeatedly, context, database, vm, rows, answers)
        for answers in context.answers
    ]
    context.add_cleanup(gevent.killall, context.readers)


@when(
    '{number:d} other callers reset their connections to "{vm}" during an answer of {rows:d} rows'
)
def reset_connections(context, number, vm, rows):
    calls = [lambda: reset_during_answer(context.harness, context.database, vm, rows)] * number
    starts = run_concurrently(*calls)
    assert all(start.startswith(b"HTTP/1.1 200") for start in starts), starts


@when("each of the callers has received {number:d} more answers")
def read_more(context, number):
    wanted = [len(answers) + number for answers in context.answers]
    wait_until(
        lambda: all(len(a) >= w for a, w in zip(context.answers, wanted, strict=True)),
        ANSWERS_TIMEOUT_S,
        "each caller receives more answers",
    )
    context.reading = False
    gevent.joinall(context.readers, raise_error=True)


@then("every answer was complete and belonged to its caller's request")
def check_complete(context):
    answers = [answer for reader in context.answers for answer in reader]
    wrong = [
        (nonce, a.outcome, len(a.rows)) for nonce, n, a in answers if not is_complete(nonce, n, a)
    ]
    assert answers
    assert not wrong, wrong


@given('the targets of "{database}" delay their responses by {delay:d} ms')
def delay_answers(context, database, delay):
    group = context.harness.cluster.groups[database]
    for target in group.group.targets:
        group.set_faults(target.name, delay_ms=delay)
    context.batches = []


@when('{number:d} callers read from "{database}" at "{vm}" with a deadline of {deadline:d} ms')
def read_by_deadline(context, number, database, vm, deadline):
    headers = {DEADLINE_HEADER: str(deadline)}
    calls = [lambda: read_large(context.harness, database, vm, 3, headers)] * number
    context.batches.append(run_concurrently(*calls))


@then("every successful answer was complete and belonged to its caller's request")
def check_arrived(context):
    answers = [answer for batch in context.batches for answer in batch]
    assert any(answer.outcome != "done" for _, _, answer in context.batches[0])
    wrong = [
        (n, a) for n, rows, a in answers if a.outcome == "done" and not is_complete(n, rows, a)
    ]
    assert not wrong, wrong


@then("all reads of the last group succeeded")
def check_answered(context):
    outcomes = [answer.outcome for _, _, answer in context.batches[-1]]
    assert outcomes == ["done"] * len(outcomes), outcomes
