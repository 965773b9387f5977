"""Tests of following the bundle head in running programs."""

from random import Random

import attrs
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from siskindale.bundles import signing
from siskindale.bundles.following import HEAD_KEY, HEAD_TABLE, BundleFollower
from siskindale.membership.directory import Directory, member_from_settings, member_to_row
from siskindale.models.bundle import Bundle, SignedBundle
from siskindale.models.settings import Settings
from siskindale.models.wire import HeadNotice
from siskindale.store.interface import LiveView, Write
from tests.fakes.clock import FakeClock
from tests.fakes.mailbox import FakeMailbox, FakeNetwork
from tests.fakes.platform import FakePlatform
from tests.fakes.settings import bundle, signed, vm_settings

CONFIRMATION_LIMIT_S = 5.0


def with_single_inbox(settings: Settings) -> Settings:
    """Gives all programs of a VM the same inbox, so that every program that is asked exists."""
    return attrs.evolve(
        settings,
        entry=attrs.evolve(settings.entry, inbox=settings.pool.inbox),
        controller=attrs.evolve(settings.controller, inbox=settings.pool.inbox),
    )


class Deployment:
    """Followers on several VMs with one program each, sharing a fake platform."""

    def __init__(self, vms: int = 3, required_signatures: int = 1) -> None:
        self.clock = FakeClock()
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.settings = [with_single_inbox(vm_settings(i, required_signatures)) for i in range(vms)]
        for settings in self.settings:
            row = member_to_row(member_from_settings(settings))
            self.platform.apply_writes([Write("members", settings.vm, row)])
        live = frozenset(settings.vm for settings in self.settings)
        self.platform.live = LiveView(live, frozenset())
        self.accepted_versions: list[tuple[float, int]] = []
        self.followers = [self._start_follower(settings) for settings in self.settings]

    def restart(self, index: int) -> None:
        """Replaces a program by a new one without state."""
        self.followers[index] = self._start_follower(self.settings[index])

    def roll(self, version: int, body: SignedBundle | None = None, delta: str = "") -> HeadNotice:
        """Stores a body and moves the head to it, as the roll command does."""
        content = signing.canonical_json(body or signed(bundle(version)))
        digest = signing.digest_of(content)
        self.platform.objects[digest] = content
        head = {"version": version, "digest": digest, "delta": delta}
        self.platform.apply_writes([Write(HEAD_TABLE, HEAD_KEY, head)])
        self.accepted_versions.append((self.clock.now, version))
        return HeadNotice(version, digest, 0.0, delta)

    def poll_and_fetch(self, index: int) -> None:
        """Polls the head once and fetches the pending body."""
        self.followers[index].poll()
        self.followers[index].fetch()

    def poll_without_tables(self, index: int) -> None:
        """Polls while the table service is down, so that the program asks its peers."""
        self.platform.faults.tables_down = True
        self.followers[index].poll()
        self.platform.faults.tables_down = False

    def send_unsolicited_notice(self, index: int, notice: HeadNotice) -> None:
        """Sends a notice that is not the answer to a request."""
        sender = FakeMailbox(self.network, "tcp://127.0.0.1:9")
        sender.send(self.settings[index].pool.inbox.inbox_url, notice)
        self.network.deliver_all()

    def _start_follower(self, settings: Settings) -> BundleFollower:
        mailbox = FakeMailbox(self.network, settings.pool.inbox.inbox_url)
        directory = Directory(settings, self.platform.as_platform())
        directory.refresh()
        platform, random = self.platform.as_platform(), Random(1)
        return BundleFollower(settings, platform, mailbox, directory, self.clock, random)


def test_program_polls_the_store_only_when_its_relay_does_not_answer() -> None:
    """Guards against three polls per VM, and against degraded mode when the relay is down."""
    deployment = Deployment(vms=2)
    deployment.roll(1)
    relay, program = deployment.followers
    program._relay_url = deployment.settings[0].pool.inbox.inbox_url
    for index in range(2):
        deployment.poll_and_fetch(index)
    reads = deployment.platform.reads
    for _ in range(20):
        deployment.clock.now += 1.0
        program.renew_confirmation()
        deployment.network.deliver_all()
        if deployment.clock.now % 2 == 0:
            relay.poll()
            reads += 1
        assert not program.degraded
    assert deployment.platform.reads == reads
    deployment.network.mailboxes.pop(program._relay_url)
    for _ in range(10):
        deployment.clock.now += 1.0
        program.renew_confirmation()
        assert not program.degraded
    assert deployment.platform.reads > reads


def test_new_head_reaches_other_vms_by_notice() -> None:
    """Guards against a rollout that waits for the next poll of each program."""
    deployment = Deployment()
    deployment.roll(1)
    for index in range(3):
        deployment.poll_and_fetch(index)
    deployment.roll(2)
    deployment.poll_and_fetch(0)
    deployment.network.deliver_all()
    assert deployment.followers[2].fetch()
    assert deployment.followers[2].current == bundle(2)


def test_new_head_is_passed_on_once() -> None:
    """Guards against notices that are forwarded endlessly."""
    deployment = Deployment()
    deployment.roll(1)
    for _ in range(3):
        for index in range(3):
            deployment.poll_and_fetch(index)
            deployment.network.deliver_all()
    sent = len(deployment.network.queue)
    deployment.poll_and_fetch(0)
    assert len(deployment.network.queue) == sent == 0


@pytest.mark.parametrize(
    ("signers", "required"), [(("mallory",), 1), (("vesela", "vesela"), 2), (("vesela",), 2)]
)
def test_body_without_enough_signatures_is_not_adopted(
    signers: tuple[str, ...], required: int
) -> None:
    """Guards against a bundle introduced by a single operator or by an unknown signer."""
    deployment = Deployment(required_signatures=required)
    deployment.roll(1, signed(bundle(1), *signers))
    deployment.poll_and_fetch(0)
    assert deployment.followers[0].current is None


def test_changed_body_is_not_adopted() -> None:
    """Guards against object store content that does not match the digest in the head."""
    deployment = Deployment()
    notice = deployment.roll(1)
    deployment.platform.objects[notice.digest] += b" "
    deployment.poll_and_fetch(0)
    assert not deployment.followers[0].ready


def test_signature_of_another_bundle_is_not_valid() -> None:
    """Guards against a signature that is copied to changed content."""
    deployment = Deployment()
    deployment.roll(1, attrs.evolve(signed(bundle(1)), bundle=bundle(1, pools_per_group=3)))
    deployment.poll_and_fetch(0)
    assert not deployment.followers[0].ready


@pytest.mark.parametrize("digest", ["0" * 64, "", "../head"])
def test_notice_of_an_unaccepted_head_has_no_effect(digest: str) -> None:
    """Guards against a faulty peer that blocks later versions with a head that does not exist."""
    deployment = Deployment()
    deployment.roll(1)
    deployment.poll_and_fetch(0)
    deployment.send_unsolicited_notice(0, HeadNotice(999, digest, 0.0))
    deployment.followers[0].fetch()
    deployment.roll(2)
    deployment.poll_and_fetch(0)
    assert deployment.followers[0].current == bundle(2)
    assert not deployment.followers[0].degraded


def test_degraded_after_the_limit_and_back() -> None:
    """Guards against serving by a bundle that may have been replaced in the meantime."""
    deployment = Deployment(vms=1)
    deployment.roll(1)
    deployment.poll_and_fetch(0)
    follower = deployment.followers[0]
    deployment.platform.faults.tables_down = True
    deployment.clock.now += CONFIRMATION_LIMIT_S
    deployment.poll_and_fetch(0)
    assert not follower.degraded
    deployment.clock.now += 0.1
    assert follower.degraded
    deployment.platform.faults.tables_down = False
    deployment.poll_and_fetch(0)
    assert not follower.degraded


def test_peer_confirms_while_the_store_is_unreachable() -> None:
    """Guards against degraded mode when only this VM has lost contact with the store."""
    deployment = Deployment()
    deployment.roll(1)
    for index in range(3):
        deployment.poll_and_fetch(index)
    deployment.clock.now += 6
    deployment.poll_and_fetch(1)
    deployment.poll_and_fetch(2)
    deployment.poll_without_tables(0)
    deployment.network.deliver_all()
    assert not deployment.followers[0].degraded


def test_delayed_answer_of_a_peer_does_not_count_as_fresh() -> None:
    """Guards against an answer that counts as fresh although it waited in a queue."""
    deployment = Deployment()
    deployment.roll(1)
    for index in range(3):
        deployment.poll_and_fetch(index)
    deployment.network.deliver_all()
    deployment.poll_without_tables(0)
    deployment.clock.now += 6
    deployment.network.deliver_all()
    assert deployment.followers[0].degraded


def test_bodies_come_from_the_object_store_only() -> None:
    """Guards against a bundle introduced by a peer while the object store is down."""
    deployment = Deployment()
    deployment.roll(1)
    for index in range(3):
        deployment.poll_and_fetch(index)
    notice = deployment.roll(2)
    deployment.poll_and_fetch(1)
    deployment.platform.faults.objects_down = True
    deployment.send_unsolicited_notice(0, notice)
    deployment.clock.now += CONFIRMATION_LIMIT_S + 0.1
    deployment.poll_and_fetch(0)
    follower = deployment.followers[0]
    assert (follower.current, follower.degraded) == (bundle(1), True)
    deployment.platform.faults.objects_down = False
    deployment.clock.now += 2.5
    deployment.poll_and_fetch(0)
    assert (follower.current, follower.degraded) == (bundle(2), False)


def test_unconfirmed_head_of_a_peer_is_not_adopted_after_a_restart() -> None:
    """Guards against going back, after a restart, to the old bundle of a peer without the store."""
    deployment = Deployment(vms=2)
    deployment.roll(1)
    deployment.poll_and_fetch(0)
    deployment.poll_and_fetch(1)
    deployment.network.queue.clear()
    deployment.roll(2)
    deployment.poll_and_fetch(0)
    deployment.network.queue.clear()
    deployment.clock.now += 1
    deployment.restart(0)
    deployment.poll_without_tables(0)
    deployment.network.deliver_all()
    deployment.followers[0].fetch()
    assert not deployment.followers[0].ready


def test_store_restored_from_an_old_copy_does_not_confirm() -> None:
    """Guards against confirmations by a store that has lost accepted versions."""
    deployment = Deployment(vms=1)
    old = deployment.roll(1)
    deployment.roll(2)
    deployment.poll_and_fetch(0)
    deployment.platform.apply_writes(
        [Write(HEAD_TABLE, HEAD_KEY, {"version": 1, "digest": old.digest})]
    )
    deployment.clock.now += CONFIRMATION_LIMIT_S + 0.1
    deployment.poll_and_fetch(0)
    follower = deployment.followers[0]
    assert (follower.current, follower.degraded) == (bundle(2), True)


def test_listeners_get_the_bundle_in_effect_and_later_ones() -> None:
    """Guards against a listener that keeps an old bundle, or whose error stops the others."""
    deployment = Deployment(vms=1)
    follower = deployment.followers[0]
    received: list[Bundle] = []
    follower.subscribe(lambda _: 1 / 0)  # type: ignore[arg-type,return-value]
    follower.subscribe(received.append)
    deployment.roll(1)
    deployment.poll_and_fetch(0)
    deployment.roll(2)
    deployment.poll_and_fetch(0)
    received_late: list[Bundle] = []
    follower.subscribe(received_late.append)
    assert [b.version for b in (*received, *received_late)] == [1, 2, 2]


class FollowingMachine(RuleBasedStateMachine):
    """Rolls, polls, outages, restarts, reordered and lost messages with three programs."""

    def __init__(self) -> None:
        super().__init__()
        self.deployment = Deployment()
        self.highest_versions = [0, 0, 0]

    program_indexes = st.integers(0, 2)

    @rule()
    def roll(self) -> None:
        """Accepts the next version."""
        self.deployment.roll(len(self.deployment.accepted_versions) + 1)

    @rule(index=program_indexes)
    def step(self, index: int) -> None:
        """Polls, delivers all messages and fetches."""
        self.deployment.followers[index].poll()
        self.deployment.network.deliver_all()
        self.deployment.followers[index].fetch()

    @rule(index=program_indexes)
    def poll(self, index: int) -> None:
        """Polls the head; the store may be down."""
        self.deployment.followers[index].poll()

    @rule(index=program_indexes)
    def fetch(self, index: int) -> None:
        """Fetches the pending body; the store may be down."""
        self.deployment.followers[index].fetch()

    @rule(index=program_indexes)
    def restart(self, index: int) -> None:
        """Replaces a program by one without state."""
        self.deployment.restart(index)

    @rule(tables=st.booleans(), objects=st.booleans())
    def set_outage(self, tables: bool, objects: bool) -> None:
        """Starts or ends outages."""
        faults = self.deployment.platform.faults
        faults.tables_down, faults.objects_down = tables, objects

    @precondition(lambda self: self.deployment.network.queue)
    @rule(data=st.data(), lost=st.booleans())
    def deliver(self, data: st.DataObject, lost: bool) -> None:
        """Delivers or loses any message."""
        queue = self.deployment.network.queue
        index = data.draw(st.integers(0, len(queue) - 1))
        queue.pop(index) if lost else self.deployment.network.deliver(index)

    @rule(seconds=st.sampled_from([0.5, 3.0, 6.0]))
    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.deployment.clock.now += seconds

    @invariant()
    def versions_never_decrease(self) -> None:
        """Guards against an older bundle after a newer one, also after restarts."""
        for index, follower in enumerate(self.deployment.followers):
            if follower.current is not None:
                assert follower.current.version >= self.highest_versions[index]
                self.highest_versions[index] = follower.current.version

    @invariant()
    def confirmed_bundle_was_the_head(self) -> None:
        """Guards against a program that is not degraded with a bundle replaced before the limit."""
        for follower in self.deployment.followers:
            if follower.current is None or follower.degraded:
                continue
            oldest_confirmation_at = self.deployment.clock.now - CONFIRMATION_LIMIT_S
            versions_before_limit = [
                v for at, v in self.deployment.accepted_versions if at < oldest_confirmation_at
            ]
            assert follower.current.version >= max(versions_before_limit, default=0)


TestFollowing = FollowingMachine.TestCase
TestFollowing.settings = hypothesis_settings(max_examples=80, stateful_step_count=50, deadline=None)
