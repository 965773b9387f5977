import attrs
from behave import given, then, when

from siskindale.bundles import audit, rolling, signing
from siskindale.bundles.rolling import Accepted, Roller, RollRequest
from siskindale.models.bundle import SignedBundle
from siskindale.models.wire import HeadNotice
from siskindale.platform.interface import Write
from tests.bundles.test_following import Deployment
from tests.fakes.settings import bundle, signed


def roll(context, operator="vesela", **changes):
    deployment = context.deployment
    platform = deployment.platform.as_platform()
    head = context.base or rolling.read_head(platform).unwrap().head
    body = signed(bundle(head.version + 1, head.digest, **changes))
    request = RollRequest(body, ("vesela",), operator, f"{operator}-{head.version}", 1.0)
    return Roller(request, platform, deployment.clock, lambda _: None).roll()


def settle(context):
    deployment = context.deployment
    for _ in range(3):
        deployment.network.deliver_all()
        for follower in deployment.followers:
            follower.fetch()


@given("three programs that serve by version 1")
def start(context):
    context.deployment, context.base = Deployment(), None
    context.outcome = roll(context)
    assert isinstance(context.outcome, Accepted)
    context.first = context.outcome.head
    for index in range(3):
        context.deployment.step(index)
    settle(context)


@when("version 2 is accepted")
def accept(context):
    assert isinstance(roll(context), Accepted)


@when("an operator rolls another version 2")
def roll_outdated(context):
    context.base = context.first
    context.outcome = roll(context, "anton", retry_budget=0.5)


@when("an unsigned version 2 becomes the head")
def roll_unsigned(context):
    platform = context.deployment.platform
    content = signing.canonical(SignedBundle(bundle(2, context.first.digest)))
    digest = signing.digest_of(content)
    platform.objects[digest] = content
    platform.apply([Write("bundle_head", "head", {"version": 2, "digest": digest})])


@when("program {number:d} polls")
def poll(context, number):
    context.deployment.followers[number - 1].poll()
    context.deployment.followers[number - 1].fetch()
    settle(context)


@when("program {number:d} is told of version 1")
def tell(context, number):
    context.deployment.notify(number - 1, HeadNotice(**attrs.asdict(context.first), age_ms=0.0))
    settle(context)


@when("program {number:d} restarts")
def restart(context, number):
    context.deployment.restart(number - 1)


@when("the table service is down for {seconds:d} seconds")
def take_down(context, seconds):
    deployment = context.deployment
    deployment.platform.faults.tables_down = True
    for _ in range(seconds):
        deployment.clock.now += 1.0
        for follower in deployment.followers:
            follower.poll()
        settle(context)


@when("the table service responds again")
def bring_up(context):
    context.deployment.platform.faults.tables_down = False
    for follower in context.deployment.followers:
        follower.poll()


@then("every program serves by version {version:d}")
def check_version(context, version):
    versions = [follower.current.version for follower in context.deployment.followers]
    assert versions == [version] * 3, versions


@then('the roll is refused because of "{reason}"')
def check_refusal(context, reason):
    assert reason in context.outcome.reason, context.outcome


@then("the audit has no findings")
def check_audit(context):
    platform = context.deployment.platform
    head = rolling.read_head(platform.as_platform()).unwrap()
    rows = platform.scan(audit.AUDIT_TABLE).unwrap()
    assert audit.verify(rows, head.head.version, head.audit_hash) == []


@then("every program is degraded")
def check_degraded(context):
    assert all(follower.degraded for follower in context.deployment.followers)


@then("no program is degraded")
def check_confirmed(context):
    assert not any(follower.degraded for follower in context.deployment.followers)


@then("program {number:d} is not ready")
def check_not_ready(context, number):
    assert not context.deployment.followers[number - 1].ready
