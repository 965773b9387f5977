"""Relay of the directory from a VM's controller to the VM's other programs."""

import pytest

from siskindale.membership.directory import Directory, member_from_settings, member_to_row
from siskindale.membership.relay import SILENCE_LIMIT_S, DirectoryClient, DirectoryServer
from siskindale.store.interface import LiveView, Write
from tests.fakes.clock import FakeClock
from tests.fakes.mailbox import FakeMailbox, FakeNetwork
from tests.fakes.platform import FakePlatform
from tests.fakes.settings import vm_settings


class Vm:
    """Controller and pool of one VM on a fake platform."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.settings = vm_settings(0)
        self.controller = Directory(self.settings, self.platform.as_platform())
        self.pool = Directory(self.settings, self.platform.as_platform())
        self.start_controller()
        mailbox = FakeMailbox(self.network, self.settings.pool.inbox.inbox_url)
        self.client = DirectoryClient(self.pool, mailbox, self.clock)  # type: ignore[arg-type]

    def start_controller(self) -> None:
        """Starts a controller with empty state."""
        self.controller = Directory(self.settings, self.platform.as_platform())
        url = self.settings.controller.inbox.inbox_url
        self.mailbox = FakeMailbox(self.network, url)
        DirectoryServer(self.controller, self.mailbox)  # type: ignore[arg-type]

    def join(self, index: int) -> None:
        """Adds a VM to the platform's tables and live list."""
        member = member_from_settings(vm_settings(index))
        self.platform.commit([], [Write("members", member.vm, member_to_row(member))])
        live = self.platform.live.live | {member.vm}
        self.platform.live = LiveView(live, self.platform.live.leaving)


@pytest.fixture
def vm() -> Vm:
    """A VM whose pool has polled its controller once."""
    vm = Vm()
    vm.join(1)
    vm.controller.refresh()
    vm.client.poll()
    vm.network.deliver_all()
    return vm


def names(directory: Directory) -> set[str]:
    return {member.vm for member in directory.members}


def test_pool_copies_the_view_of_the_controller_without_reading_the_platform(vm: Vm) -> None:
    """Guards against all three programs of a VM reading the platform although one suffices."""
    vm.join(2)
    vm.controller.refresh()
    before = vm.platform.reads
    vm.network.deliver_all()
    vm.client.poll()
    assert names(vm.pool) == names(vm.controller)
    assert vm_settings(2).vm in names(vm.pool)
    assert vm.platform.reads == before


def test_pool_reads_the_platform_while_the_controller_is_silent(vm: Vm) -> None:
    """Guards against a pool that keeps an old view because its controller has failed."""
    vm.network.mailboxes.pop(vm.mailbox.url)
    vm.join(2)
    vm.clock.now += SILENCE_LIMIT_S + 0.1
    vm.client.poll()
    assert vm_settings(2).vm in names(vm.pool)


def test_restarted_controller_is_followed_from_its_first_revision(vm: Vm) -> None:
    """Guards against ignoring a restarted controller because its revisions start again."""
    for index in (2, 3):
        vm.join(index)
        vm.controller.refresh()
    vm.network.deliver_all()
    vm.start_controller()
    vm.join(4)
    vm.controller.refresh()
    vm.network.deliver_all()
    assert vm_settings(4).vm in names(vm.pool)


def test_directory_of_another_vm_is_ignored(vm: Vm) -> None:
    """Guards against a program that accepts the view of another VM's controller."""
    other_mailbox = FakeMailbox(vm.network, "tcp://127.0.0.1:9")
    DirectoryServer(vm.controller, other_mailbox)  # type: ignore[arg-type]
    before = names(vm.pool)
    vm.network.mailboxes.pop(vm.mailbox.url)
    vm.join(2)
    vm.controller.refresh()
    vm.network.queue[:] = [m for m in vm.network.queue if m[1].reply_to == other_mailbox.url]
    vm.network.deliver_all()
    assert names(vm.pool) == before
