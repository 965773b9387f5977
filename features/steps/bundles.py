import attrs
import gevent
from behave import given, then, when

from bench.cluster import PROGRAMS
from bench.faults import ACTIONS
from bench.processes import accepts_connections, wait_until
from features.steps.helpers import BUNDLE_TIMEOUT_S
from siskindale.bundles import audit, rolling, signing
from siskindale.bundles.rolling import Accepted, Roller, RollRequest
from siskindale.models.bundle import SignedBundle
from siskindale.models.wire import HeadNotice
from siskindale.store.interface import Write
from tests.bundles.test_following import Deployment
from tests.fakes.settings import bundle, signed


def roll_bundle(context, operator="vesela", **changes):
    deployment = context.deployment
    platform = deployment.platform.as_platform()
    head = context.roll_base or rolling.read_head(platform).unwrap().head
    body = signed(bundle(head.version + 1, head.digest, **changes))
    request = RollRequest(body, ("vesela",), operator, f"{operator}-{head.version}", 1.0)
    return Roller(request, platform, deployment.clock, lambda _: None).roll()


def deliver_and_fetch(context):
    deployment = context.deployment
    for _ in range(3):
        deployment.network.deliver_all()
        for follower in deployment.followers:
            follower.fetch()


@given("three programs that use version 1")
def start_programs(context):
    context.deployment, context.roll_base = Deployment(), None
    context.roll_outcome = roll_bundle(context)
    assert isinstance(context.roll_outcome, Accepted)
    context.first_head = context.roll_outcome.head
    for index in range(3):
        context.deployment.poll_and_fetch(index)
    deliver_and_fetch(context)


@when("version 2 is accepted")
def roll_version_2(context):
    assert isinstance(roll_bundle(context), Accepted)


@when("an operator rolls another version 2")
def roll_outdated(context):
    context.roll_base = context.first_head
    context.roll_outcome = roll_bundle(context, "anton", retry_budget=0.5)


@when("an unsigned version 2 becomes the head")
def roll_unsigned(context):
    platform = context.deployment.platform
    content = signing.canonical_json(SignedBundle(bundle(2, context.first_head.digest)))
    digest = signing.digest_of(content)
    platform.objects[digest] = content
    platform.apply_writes([Write("bundle_head", "head", {"version": 2, "digest": digest})])


@when("program {number:d} polls")
def poll_program(context, number):
    context.deployment.followers[number - 1].poll()
    context.deployment.followers[number - 1].fetch()
    deliver_and_fetch(context)


@when("program {number:d} receives a notice of version 1")
def notify_of_first(context, number):
    context.deployment.send_unsolicited_notice(
        number - 1, HeadNotice(**attrs.asdict(context.first_head), age_ms=0.0)
    )
    deliver_and_fetch(context)


@when("program {number:d} restarts")
def restart_program(context, number):
    context.deployment.restart(number - 1)


@when("the table service is down for {seconds:d} seconds")
def fail_table_service(context, seconds):
    deployment = context.deployment
    deployment.platform.faults.tables_down = True
    for _ in range(seconds):
        deployment.clock.now += 1.0
        for follower in deployment.followers:
            follower.poll()
        deliver_and_fetch(context)


@when("the table service responds again")
def restore_table_service(context):
    context.deployment.platform.faults.tables_down = False
    for follower in context.deployment.followers:
        follower.poll()


@then("every program uses version {version:d}")
def check_version(context, version):
    versions = [follower.current.version for follower in context.deployment.followers]
    assert versions == [version] * 3, versions


@then('the roll is refused with the reason "{reason}"')
def check_refusal(context, reason):
    assert reason in context.roll_outcome.reason, context.roll_outcome


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
def check_not_degraded(context):
    assert not any(follower.degraded for follower in context.deployment.followers)


@then("program {number:d} is not ready")
def check_not_ready(context, number):
    assert not context.deployment.followers[number - 1].ready


def record_versions(context):
    """Records the bundle versions in effect, except of programs that do not respond."""
    while context.recording:
        context.recorded_versions.append(
            {n: v for n, v in context.harness.bundle_versions().items() if v > 0}
        )
        gevent.sleep(0.05)


def is_in_effect(context):
    return all(version >= context.version for version in context.harness.bundle_versions().values())


def stop_recording(context):
    context.recording = False
    context.recorder.join()


@when("a bundle is rolled")
def roll_deployed(context):
    context.version = ACTIONS.get("roll")(context.harness.injector, {})["version"]


@then("the rolled bundle is in effect in every program")
def check_in_effect(context):
    wait_until(
        lambda: is_in_effect(context), BUNDLE_TIMEOUT_S, f"version {context.version} everywhere"
    )


@when("the store goes down")
def take_store_down(context):
    context.harness.cluster.platform.set_faults(down=True)
    context.recording, context.recorded_versions = True, []
    context.recorder = gevent.spawn(record_versions, context)
    context.add_cleanup(stop_recording, context)


@when('"{vm}" is killed and started again')
def restart_vm(context, vm):
    harness = context.harness
    harness.kill_vm(vm)
    for program in PROGRAMS:
        harness.cluster.start_program(harness.cluster.vms[vm], program)


@then('the programs of "{vm}" use no older bundle until the store responds')
def check_restarted(context, vm):
    cluster = context.harness.cluster
    health = cluster.vms[vm].health_address
    # Each program responds, ready or not, before the store is restored.
    wait_until(
        lambda: all(accepts_connections(health(program)) for program in PROGRAMS),
        BUNDLE_TIMEOUT_S,
        f"{vm} responds",
    )
    versions = {p: cluster.bundle_version(cluster.vms[vm], p) for p in PROGRAMS}
    assert all(v <= 0 or v >= context.version for v in versions.values()), versions
    cluster.platform.set_faults(down=False)


@then("no program was observed with an older bundle")
def check_never_older(context):
    stop_recording(context)
    assert context.recorded_versions
    older = [
        seen
        for seen in context.recorded_versions
        if any(v < context.version for v in seen.values())
    ]
    assert not older, older[:3]
