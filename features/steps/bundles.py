import attrs
import gevent
from behave import given, then, when

from bench.cluster import PROGRAMS
from bench.faults import ACTIONS
from bench.processes import accepts_connections, wait_until
from features.steps.helpers import BUNDLE_S
from siskindale.bundles import audit, rolling, signing
from siskindale.bundles.rolling import Accepted, Roller, RollRequest
from siskindale.models.bundle import SignedBundle
from siskindale.models.wire import HeadNotice
from siskindale.store.interface import Write
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
        context.deployment.poll_and_fetch(index)
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
    content = signing.canonical_json(SignedBundle(bundle(2, context.first.digest)))
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
    context.deployment.send_unsolicited_notice(
        number - 1, HeadNotice(**attrs.asdict(context.first), age_ms=0.0)
    )
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


def watch(context):
    """Records the versions that programs serve by; those that do not respond are left out."""
    while context.watching:
        context.seen.append({n: v for n, v in context.field.versions().items() if v > 0})
        gevent.sleep(0.05)


def in_effect(context):
    return all(version >= context.version for version in context.field.versions().values())


def stop_watching(context):
    context.watching = False
    context.watcher.join()


@when("a bundle is rolled")
def roll_deployed(context):
    context.version = ACTIONS.get("roll")(context.field.injector, {})["version"]


@then("it is in effect in every program")
def check_deployed(context):
    wait_until(lambda: in_effect(context), BUNDLE_S, f"version {context.version} everywhere")


@when("the store goes down")
def take_store_down(context):
    context.field.cluster.platform.set_faults(down=True)
    context.watching, context.seen = True, []
    context.watcher = gevent.spawn(watch, context)
    context.add_cleanup(stop_watching, context)


@when('"{vm}" is killed and started again')
def restart_vm(context, vm):
    field = context.field
    field.kill_vm(vm)
    for program in PROGRAMS:
        field.cluster.start_program(field.cluster.vms[vm], program)


@then('the programs of "{vm}" serve by no older bundle until the store responds')
def check_restarted(context, vm):
    cluster = context.field.cluster
    health = cluster.vms[vm].health_address
    # Each program responds, whether it is ready or not, before the store is up again.
    wait_until(
        lambda: all(accepts_connections(health(program)) for program in PROGRAMS),
        BUNDLE_S,
        f"{vm} responds",
    )
    versions = {p: cluster.bundle_version(cluster.vms[vm], p) for p in PROGRAMS}
    assert all(v <= 0 or v >= context.version for v in versions.values()), versions
    cluster.platform.set_faults(down=False)


@then("no program was seen with an older bundle")
def check_never_older(context):
    stop_watching(context)
    assert context.seen
    older = [seen for seen in context.seen if any(v < context.version for v in seen.values())]
    assert not older, older[:3]
