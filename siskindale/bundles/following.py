"""Follows the bundle head in a running program.

The follower polls the table service. Peers forward new heads, and are asked for their confirmation
when the table service does not respond. A peer only sends a digest: bodies are read from the object
store alone and verified before they are adopted, so a peer cannot introduce a bundle.
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
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.store.interface import Platform, PlatformError
from siskindale.transport.mailbox import Delivery, Mailbox

HEAD_TABLE = "bundle_head"
HEAD_KEY = "head"

# Number of controllers that each controller notifies of a new head. With 16, a head reaches 770
# controllers in three hops; one that none of them chooses (1 in 10 million) finds it by polling.
NOTIFIED_CONTROLLERS = 16
CONFIRMATION_PEERS = 2
POLL_JITTER_FRACTION = 0.1
REQUEST_EXPIRY_S = 10.0

# In poll periods. A relayed confirmation is at most one poll period of the controller plus one
# request interval old. Beyond the maximum age, which is still below the degraded limit, the program
# polls the store itself.
RELAY_INTERVAL_PERIODS = 0.5
RELAY_MAX_AGE_PERIODS = 1.7

Listener = Callable[[Bundle], None]


def head_from_value(value: dict[str, Any]) -> Head:
    """Returns the head stored in a row of the table service."""
    return Head(value["version"], value["digest"], value.get("delta", ""))


class BundleFollower:
    """Keeps the program's bundle current; its version never decreases.

    `relay_url` is the inbox URL of the VM's controller. A program with a relay asks it for
    confirmations and polls the table service only when the relay's confirmations are too old, so
    that each VM polls once instead of three times.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        mailbox: Mailbox,
        directory: Directory,
        clock: Clock,
        random: Random | None = None,
        relay_url: str | None = None,
    ) -> None:
        self._trust = settings.trust
        self._platform = platform
        self._mailbox = mailbox
        self._directory = directory
        self._clock = clock
        self._relay_url = relay_url
        self._random = random or Random()
        self._state = HeadState(started_at=clock.monotonic())
        self._bundle: Bundle | None = None
        self._adopted_body = b""
        self._listeners: list[Listener] = []
        self._request_times: dict[int, float] = {}
        self._fetch_needed = Event()
        self._greenlets: list[gevent.Greenlet] = []
        mailbox.set_handler(HeadNotice, self._on_notice)
        mailbox.set_handler(HeadRequest, self._on_request)

    @property
    def current(self) -> Bundle | None:
        """Bundle in effect; None until the first bundle is adopted."""
        return self._bundle

    @property
    def digest(self) -> str:
        """SHA-256 of the body of the bundle in effect; empty until the first bundle is adopted."""
        return self._state.adopted.digest if self._state.adopted else ""

    @property
    def ready(self) -> bool:
        """Whether a bundle is in effect."""
        return self._bundle is not None

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the store confirmed the head; infinite if it never did."""
        return heads.confirmation_age(self._state, self._clock.monotonic())

    @property
    def degraded(self) -> bool:
        """Whether the latest confirmation is older than `head_confirmation_limit_ms`."""
        return self.confirmation_age_s * 1000 > self._durations.head_confirmation_limit_ms

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with the bundle in effect and each later one; it must not block."""
        self._listeners.append(listener)
        if self._bundle is not None:
            self._call_listener(listener, self._bundle)

    def start(self) -> None:
        """Starts polling and fetching."""
        self._greenlets = [supervise(self._poll_forever), supervise(self._fetch_forever)]

    def stop(self) -> None:
        """Stops polling and fetching; the bundle in effect stays."""
        gevent.killall(self._greenlets)

    def renew_confirmation(self) -> None:
        """Asks the relay for a confirmation; polls the store if the latest one is too old."""
        if (
            self._relay_url is None
            or self.confirmation_age_s > RELAY_MAX_AGE_PERIODS * self._poll_period_s
        ):
            self.poll()
        else:
            self._request_confirmations([self._relay_url])

    def poll(self) -> bool:
        """Reads the head once, or asks peers if that fails; returns whether the store responded."""
        sent_at = self._clock.monotonic()
        result = self._platform.tables.read(HEAD_TABLE, HEAD_KEY)
        if isinstance(result, Failure):
            metrics.STORE_FAILURES.labels("tables").inc()
            logger().warning("bundle-head-unreadable", reason=result.failure().detail)
            self._request_peer_confirmations()
            return False
        row = result.unwrap()
        if row is not None:
            self._observe_head(head_from_value(row.value), sent_at, "store")
        return True

    def fetch(self) -> bool:
        """Fetches and adopts the pending bundle if it is due; returns whether it was adopted."""
        due_at = heads.fetch_due_at(self._state)
        head = self._state.pending
        if head is None or due_at is None or due_at > self._clock.monotonic():
            return False
        result = self._read_body(head)
        if isinstance(result, Failure):
            metrics.STORE_FAILURES.labels("objects").inc()
            logger().warning("bundle-body-unreadable", reason=result.failure().detail)
            heads.record_fetch_failure(self._state, head, self._clock.monotonic())
            return False
        return self._verify_and_adopt(head, result.unwrap())

    @property
    def _durations(self) -> Durations:
        return self._bundle.durations if self._bundle else Durations()

    @property
    def _poll_period_s(self) -> float:
        return self._durations.head_poll_ms / 1000

    @long_lived("bundle-confirmation", vital=True)
    def _poll_forever(self) -> None:
        while True:
            started_at = self._clock.monotonic()
            try:
                self.renew_confirmation()
            except Exception:
                logger().exception("bundle-poll-failed")
            metrics.CONFIRMATION_AGE.set(self.confirmation_age_s)
            period = (
                self._poll_period_s
                if self._relay_url is None
                else RELAY_INTERVAL_PERIODS * self._poll_period_s
            )
            period *= 1 + self._random.uniform(-POLL_JITTER_FRACTION, POLL_JITTER_FRACTION)
            gevent.sleep(max(0.0, started_at + period - self._clock.monotonic()))

    @long_lived("bundle-fetch", vital=True)
    def _fetch_forever(self) -> None:
        while True:
            self._fetch_needed.clear()
            try:
                self.fetch()
            except Exception:
                logger().exception("bundle-fetch-failed")
                gevent.sleep(heads.FETCH_RETRY_MIN_S)
            due_at = heads.fetch_due_at(self._state)
            wait = None if due_at is None else max(0.0, due_at - self._clock.monotonic())
            self._fetch_needed.wait(wait)

    def _verify_and_adopt(self, head: Head, content: bytes | None) -> bool:
        if content is None:
            self._reject(head, "the body is not in the object store", permanent=False)
            return False
        verified = signing.verify_body(content, head.digest, self._trust)
        if isinstance(verified, Failure):
            self._reject(head, verified.failure(), permanent=True)
            return False
        bundle = verified.unwrap().bundle
        if bundle.version != head.version:
            self._reject(head, f"the body has version {bundle.version}", permanent=True)
            return False
        return self._adopt(head, bundle, content)

    def _read_body(self, head: Head) -> Result[bytes | None, PlatformError]:
        """Applies the delta to the previous body if that is adopted, else reads the whole body."""
        adopted = self._state.adopted
        if head.delta and adopted is not None and head.version == adopted.version + 1:
            content = self._apply_delta(head)
            if content is not None:
                return Success(content)
        metrics.BODY_READS.labels("whole").inc()
        return self._platform.objects.get(head.digest)

    def _apply_delta(self, head: Head) -> bytes | None:
        encoded_delta = self._platform.objects.get(head.delta).value_or(None)
        if encoded_delta is None or signing.digest_of(encoded_delta) != head.delta:
            return None
        content = delta.apply(self._adopted_body, encoded_delta).value_or(b"")
        if signing.digest_of(content) != head.digest:
            logger().warning("bundle-delta-unusable", version=head.version, delta=head.delta)
            return None
        metrics.BODY_READS.labels("delta").inc()
        return content

    def _adopt(self, head: Head, bundle: Bundle, content: bytes) -> bool:
        if not heads.adopt(self._state, head, self._clock.monotonic()):
            return False
        self._bundle, self._adopted_body = bundle, content
        metrics.VERSION.set(bundle.version)
        logger().info("bundle-adopted", version=head.version, digest=head.digest)
        self._send_notice(self._notice_recipients())
        for listener in self._listeners:
            self._call_listener(listener, bundle)
        return True

    def _call_listener(self, listener: Listener, bundle: Bundle) -> None:
        try:
            listener(bundle)
        except Exception:
            logger().exception("bundle-listener-failed", version=bundle.version)

    def _reject(self, head: Head, reason: str, permanent: bool) -> None:
        metrics.REJECTIONS.inc()
        logger().error("bundle-rejected", version=head.version, digest=head.digest, reason=reason)
        heads.reject(self._state, head, permanent)

    def _observe_head(self, head: Head, confirmed_at: float | None, source: str) -> None:
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
        if self._state.pending is not None:
            self._fetch_needed.set()

    def _on_notice(self, delivery: Delivery) -> None:
        notice: HeadNotice = delivery.body
        requested_at = self._request_times.pop(delivery.envelope.correlation_id, None)
        confirmed_at = None if requested_at is None else requested_at - notice.age_ms / 1000
        head = Head(notice.version, notice.digest, notice.delta)
        self._observe_head(head, confirmed_at, delivery.envelope.reply_to)

    def _on_request(self, delivery: Delivery) -> None:
        envelope = delivery.envelope
        notice = self._head_notice()
        if notice is not None:
            self._mailbox.send(
                envelope.reply_to, notice, envelope.correlation_id, envelope.sender_boot
            )

    def _head_notice(self) -> HeadNotice | None:
        head = self._state.adopted
        if head is None:
            return None
        return HeadNotice(head.version, head.digest, self.confirmation_age_s * 1000, head.delta)

    def _send_notice(self, urls: Iterable[str]) -> None:
        notice = self._head_notice()
        for url in urls:
            self._mailbox.send(url, notice)

    def _request_peer_confirmations(self) -> None:
        own = set(self._directory.own_member.inbox_urls)
        peers = self._peer_urls()
        others = self._sample([url for url in peers if url not in own], CONFIRMATION_PEERS)
        self._request_confirmations([*(url for url in peers if url in own), *others])

    def _request_confirmations(self, urls: Iterable[str]) -> None:
        now = self._clock.monotonic()
        self._request_times = {
            c: t for c, t in self._request_times.items() if t > now - REQUEST_EXPIRY_S
        }
        for url in urls:
            correlation = self._mailbox.next_correlation_id()
            self._request_times[correlation] = now
            self._mailbox.send(url, HeadRequest(), correlation)

    def _notice_recipients(self) -> list[str]:
        """Returns the inboxes that are notified of a new head.

        Each program notifies the other programs of its VM; only controllers also notify controllers
        of other VMs. If every program notified other VMs, a node would send three times as many
        notices.
        """
        own = self._directory.own_member
        urls = [url for url in own.inbox_urls if url != self._mailbox.url]
        if self._relay_url is not None:
            return urls
        others = [m.controller.inbox_url for m in self._directory.members if m.vm != own.vm]
        return urls + self._sample(others, NOTIFIED_CONTROLLERS)

    def _peer_urls(self) -> list[str]:
        return [url for url in self._directory.inbox_urls if url != self._mailbox.url]

    def _sample(self, urls: list[str], count: int) -> list[str]:
        return self._random.sample(urls, min(count, len(urls)))
