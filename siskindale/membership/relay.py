"""Relay of the directory within a VM.

Only the controller reads the platform; entry and pool copy its view. If all three programs read the
platform, 770 VMs would need more reads than the table service handles. A program whose controller
does not answer reads the platform itself.
"""

import gevent

from siskindale.context import Clock
from siskindale.membership.directory import REFRESH_INTERVAL_S, Directory
from siskindale.models.wire import DirectoryNotice, DirectoryRequest
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.transport.mailbox import Delivery, Mailbox

SILENCE_LIMIT_S = 2 * REFRESH_INTERVAL_S


class DirectoryServer:
    """Sends the controller's directory to the other programs of the VM."""

    def __init__(self, directory: Directory, mailbox: Mailbox) -> None:
        self._directory = directory
        self._mailbox = mailbox
        mailbox.set_handler(DirectoryRequest, self._on_request)
        directory.subscribe(self._push_notice)

    def _on_request(self, delivery: Delivery) -> None:
        request: DirectoryRequest = delivery.body
        known = (request.controller_boot, request.revision)
        unchanged = known == (self._mailbox.boot, self._directory.revision)
        notice = DirectoryNotice(self._directory.revision) if unchanged else self._full_notice()
        self._mailbox.send(delivery.envelope.reply_to, notice)

    def _push_notice(self) -> None:
        own = self._directory.own_member
        for address in (own.entry, own.pool):
            self._mailbox.send(address.inbox_url, self._full_notice())

    def _full_notice(self) -> DirectoryNotice:
        live = self._directory.live
        return DirectoryNotice(
            revision=self._directory.revision,
            members=self._directory.all_members,
            live=None if live is None else tuple(live),
            leaving=tuple(self._directory.leaving),
        )


class DirectoryClient:
    """Keeps the directory of an entry or a pool in sync with that of the VM's controller."""

    def __init__(self, directory: Directory, mailbox: Mailbox, clock: Clock) -> None:
        self._directory = directory
        self._mailbox = mailbox
        self._clock = clock
        self._controller_boot = ""
        self._revision = -1
        self._last_notice_at: float | None = None
        mailbox.set_handler(DirectoryNotice, self._on_notice)

    def start(self) -> None:
        """Starts polling the controller; until it answers, views come from the platform."""
        supervise(self._poll_periodically)

    def poll(self) -> None:
        """Sends a request to the controller, and reads the platform if it has been silent."""
        request = DirectoryRequest(self._controller_boot, self._revision)
        self._mailbox.send(self._directory.own_member.controller.inbox_url, request)
        now = self._clock.monotonic()
        if self._last_notice_at is None or now - self._last_notice_at > SILENCE_LIMIT_S:
            self._controller_boot = ""
            self._directory.refresh()

    @long_lived("directory-relay", vital=True)
    def _poll_periodically(self) -> None:
        while True:
            self.poll()
            gevent.sleep(REFRESH_INTERVAL_S)

    def _on_notice(self, delivery: Delivery) -> None:
        notice: DirectoryNotice = delivery.body
        if delivery.envelope.reply_to != self._directory.own_member.controller.inbox_url:
            return
        self._last_notice_at = self._clock.monotonic()
        if notice.members is None:
            return
        if (
            delivery.envelope.sender_boot == self._controller_boot
            and notice.revision < self._revision
        ):
            return
        self._controller_boot, self._revision = delivery.envelope.sender_boot, notice.revision
        live = None if notice.live is None else frozenset(notice.live)
        self._directory.replace_view(notice.members, live, frozenset(notice.leaving))
