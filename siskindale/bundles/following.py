"""Following of the bundle head by a running program.

The table service is polled; peers pass new heads on and are asked for their confirmation when the
table service does not respond. A peer only names a digest: bodies come from the object store alone
and are verified before they are adopted, so a peer cannot introduce a bundle.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import gevent
from gevent.event import Event
from returns.result import Failure, Result, Success

from siskindale.bundles import delta, heads, metrics, signing
from siskindale.bundles.heads import Head, HeadState
from siskindale.context import Clock
from siskindale.membership.directory import Directory
from siskindale.models.bundle import Bundle, Durations
from siskindale.models.settings import Settings
from siskindale.models.wire import HeadNotice, HeadRequest
from siskindale.runtime.logs import logger
from siskindale.store.interface import Platform, PlatformError
from siskindale.transport.mailbox import Delivery, Mailbox

HEAD_TABLE = "bundle_head"
HEAD_KEY = "head"

# Controllers that are told of a new head by each controller. 16 reach 770 of them in three steps;
# a controller that none of 16 chooses on average (1 in 10 million) finds the head by its poll.
NOTICE_PEERS = 16
CONFIRMATION_PEERS = 2
POLL_JITTER = 0.1
REQUEST_LIMIT_S = 10.0

# In poll periods. A relayed confirmation is at most one period of the controller and one of the
# relay old; above the limit the program reads the store itself, still below the degraded limit.
RELAY_PERIOD = 0.5
RELAY_LIMIT = 1.7

Listener = Callable[[Bundle], None]


def head_of(value: dict[str, Any]) -> Head:
    """Returns the head that a row of the table service holds."""
    return Head(value["version"], value["digest"], value.get("delta", ""))


class BundleFollower:
    """Keeps the program's bundle current; it only moves forward in version.

    `relay` is the inbox of the VM's controller. A program that has one asks it for confirmations
    and reads the table service only while that does not suffice, so that a VM costs one poll and
    not three.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        mailbox: Mailbox,
        directory: Directory,
        clock: Clock,
        random: Random | None = None,
        relay: str | None = None,
    ) -> None:
        self._trust = settings.trust
        self._platform = platform
        self._mailbox = mailbox
        self._directory = directory
        self._clock = clock
        self._relay = relay
        self._random = random or Random()
        self._state = HeadState(started_at=clock.monotonic())
        self._bundle: Bundle | None = None
        self._body = b""
        self._listeners: list[Listener] = []
        self._requests: dict[int, float] = {}
        self._changed = Event()
        self._greenlets: list[gevent.Greenlet] = []
        mailbox.on(HeadNotice, self._on_notice)
        mailbox.on(HeadRequest, self._on_request)

    @property
    def current(self) -> Bundle | None:
        """Bundle in effect, None before the first one."""
        return self._bundle

    @property
    def digest(self) -> str:
        """SHA-256 of the body of the bundle in effect, empty before the first one."""
        return self._state.adopted.digest if self._state.adopted else ""

    @property
    def ready(self) -> bool:
        """Whether a bundle is in effect."""
        return self._bundle is not None

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the store confirmed the head, infinite if it never did."""
        return heads.confirmation_age(self._state, self._clock.monotonic())

    @property
    def degraded(self) -> bool:
        """Whether the latest confirmation is older than the limit."""
        return self.confirmation_age_s * 1000 > self._durations.head_confirmation_limit_ms

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener`, which must not block, with the bundle in effect and each later one."""
        self._listeners.append(listener)
        if self._bundle is not None:
            listener(self._bundle)

    def start(self) -> None:
        """Starts polling and fetching."""
        self._greenlets = [gevent.spawn(self._poll_forever), gevent.spawn(self._fetch_forever)]

    def stop(self) -> None:
        """Stops polling and fetching; the bundle in effect stays."""
        gevent.killall(self._greenlets)

    def step(self) -> None:
        """Renews the confirmation once: from the relay while that suffices, else from the store."""
        if self._relay is None or self.confirmation_age_s > RELAY_LIMIT * self._period_s:
            self.poll()
        else:
            self._ask([self._relay])

    def poll(self) -> bool:
        """Reads the head once; asks peers if the store does not respond. Returns whether it did."""
        sent_at = self._clock.monotonic()
        found = self._platform.tables.read(HEAD_TABLE, HEAD_KEY)
        if isinstance(found, Failure):
            metrics.STORE_FAILURES.labels("tables").inc()
            logger().warning("bundle-head-unreadable", reason=found.failure().detail)
            self._ask_peers()
            return False
        row = found.unwrap()
        if row is not None:
            self._observe(head_of(row.value), sent_at, "store")
        return True

    def fetch(self) -> bool:
        """Fetches and adopts the wanted bundle if that is due; returns whether it was adopted."""
        due = heads.fetch_due(self._state)
        head = self._state.wanted
        if head is None or due is None or due > self._clock.monotonic():
            return False
        found = self._read_body(head)
        if isinstance(found, Failure):
            metrics.STORE_FAILURES.labels("objects").inc()
            logger().warning("bundle-body-unreadable", reason=found.failure().detail)
            heads.fetch_failed(self._state, head, self._clock.monotonic())
            return False
        return self._take(head, found.unwrap())

    @property
    def _durations(self) -> Durations:
        return self._bundle.durations if self._bundle else Durations()

    @property
    def _period_s(self) -> float:
        return self._durations.head_poll_ms / 1000

    def _poll_forever(self) -> None:
        while True:
            began = self._clock.monotonic()
            try:
                self.step()
            except Exception:
                logger().exception("bundle-poll-failed")
            metrics.CONFIRMATION_AGE.set(self.confirmation_age_s)
            period = self._period_s if self._relay is None else RELAY_PERIOD * self._period_s
            period *= 1 + self._random.uniform(-POLL_JITTER, POLL_JITTER)
            gevent.sleep(max(0.0, began + period - self._clock.monotonic()))

    def _fetch_forever(self) -> None:
        while True:
            self._changed.clear()
            try:
                self.fetch()
            except Exception:
                logger().exception("bundle-fetch-failed")
                gevent.sleep(heads.FETCH_RETRY_S)
            due = heads.fetch_due(self._state)
            wait = None if due is None else max(0.0, due - self._clock.monotonic())
            self._changed.wait(wait)

    def _take(self, head: Head, content: bytes | None) -> bool:
        if content is None:
            self._reject(head, "the object store has no such body", permanent=False)
            return False
        opened = signing.open_body(content, head.digest, self._trust)
        if isinstance(opened, Failure):
            self._reject(head, opened.failure(), permanent=True)
            return False
        bundle = opened.unwrap().bundle
        if bundle.version != head.version:
            self._reject(head, f"the body has version {bundle.version}", permanent=True)
            return False
        return self._adopt(head, bundle, content)

    def _read_body(self, head: Head) -> Result[bytes | None, PlatformError]:
        """Applies the delta where the body before is at hand, else reads the whole body."""
        adopted = self._state.adopted
        if head.delta and adopted is not None and head.version == adopted.version + 1:
            content = self._apply_delta(head)
            if content is not None:
                return Success(content)
        metrics.BODIES.labels("whole").inc()
        return self._platform.objects.get(head.digest)

    def _apply_delta(self, head: Head) -> bytes | None:
        found = self._platform.objects.get(head.delta).value_or(None)
        if found is None or signing.digest_of(found) != head.delta:
            return None
        content = delta.apply(self._body, found).value_or(b"")
        if signing.digest_of(content) != head.digest:
            logger().warning("bundle-delta-unusable", version=head.version, delta=head.delta)
            return None
        metrics.BODIES.labels("delta").inc()
        return content

    def _adopt(self, head: Head, bundle: Bundle, content: bytes) -> bool:
        if not heads.adopt(self._state, head, self._clock.monotonic()):
            return False
        self._bundle, self._body = bundle, content
        metrics.VERSION.set(bundle.version)
        logger().info("bundle-adopted", version=head.version, digest=head.digest)
        self._notify(self._told_of_a_new_head())
        for listener in self._listeners:
            self._call(listener, bundle)
        return True

    def _call(self, listener: Listener, bundle: Bundle) -> None:
        try:
            listener(bundle)
        except Exception:
            logger().exception("bundle-listener-failed", version=bundle.version)

    def _reject(self, head: Head, reason: str, permanent: bool) -> None:
        metrics.REJECTIONS.inc()
        logger().error("bundle-rejected", version=head.version, digest=head.digest, reason=reason)
        heads.reject(self._state, head, permanent)

    def _observe(self, head: Head, confirmed_at: float | None, source: str) -> None:
        now = self._clock.monotonic()
        if not heads.is_well_formed(head) or not heads.observe(
            self._state, head, confirmed_at, now
        ):
            metrics.CONTRADICTIONS.inc()
            logger().error(
                "bundle-head-contradicts",
                source=source,
                version=head.version,
                digest=head.digest,
                adopted=self._state.adopted,
            )
        if self._state.wanted is not None:
            self._changed.set()

    def _on_notice(self, delivery: Delivery) -> None:
        notice: HeadNotice = delivery.body
        asked_at = self._requests.pop(delivery.envelope.correlation_id, None)
        confirmed_at = None if asked_at is None else asked_at - notice.age_ms / 1000
        head = Head(notice.version, notice.digest, notice.delta)
        self._observe(head, confirmed_at, delivery.envelope.reply_to)

    def _on_request(self, delivery: Delivery) -> None:
        envelope = delivery.envelope
        notice = self._notice()
        if notice is not None:
            self._mailbox.send(
                envelope.reply_to, notice, envelope.correlation_id, envelope.sender_boot
            )

    def _notice(self) -> HeadNotice | None:
        head = self._state.adopted
        if head is None:
            return None
        return HeadNotice(head.version, head.digest, self.confirmation_age_s * 1000, head.delta)

    def _notify(self, urls: Iterable[str]) -> None:
        notice = self._notice()
        for url in urls:
            self._mailbox.send(url, notice)

    def _ask_peers(self) -> None:
        own = set(self._directory.own_member.inboxes)
        peers = self._peers()
        others = self._sample([url for url in peers if url not in own], CONFIRMATION_PEERS)
        self._ask([*(url for url in peers if url in own), *others])

    def _ask(self, urls: Iterable[str]) -> None:
        now = self._clock.monotonic()
        self._requests = {c: t for c, t in self._requests.items() if t > now - REQUEST_LIMIT_S}
        for url in urls:
            correlation = self._mailbox.next_correlation()
            self._requests[correlation] = now
            self._mailbox.send(url, HeadRequest(), correlation)

    def _told_of_a_new_head(self) -> list[str]:
        """Returns the VM's other programs; a controller adds controllers of other VMs.

        If every program told programs of all VMs, a node would send three times as many notices.
        """
        own = self._directory.own_member
        urls = [url for url in own.inboxes if url != self._mailbox.url]
        if self._relay is not None:
            return urls
        others = [m.controller.inbox_url for m in self._directory.members if m.vm != own.vm]
        return urls + self._sample(others, NOTICE_PEERS)

    def _peers(self) -> list[str]:
        return [url for url in self._directory.inbox_urls if url != self._mailbox.url]

    def _sample(self, urls: list[str], count: int) -> list[str]:
        return self._random.sample(urls, min(count, len(urls)))
