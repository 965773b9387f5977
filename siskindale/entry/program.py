"""The service of `siskindale-entry` inside the program skeleton."""

from collections.abc import Mapping, Sequence
from typing import Any

from siskindale.entry import metrics
from siskindale.entry.api import create_app
from siskindale.entry.dispatcher import Dispatcher
from siskindale.entry.gateway import Gateway
from siskindale.entry.routes import DirectoryRoutes
from siskindale.entry.server import CallerServer
from siskindale.runtime.health import Report
from siskindale.runtime.program import STATUS_PATH, Parts


class EntryService:
    """Callers' server, gateway and dispatcher together."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        settings = parts.settings.entry
        routes = DirectoryRoutes(parts.directory, parts.bundles)
        self._dispatcher = Dispatcher(parts.mailbox, routes, parts.env.clock)
        gateway = Gateway(parts, self._dispatcher)
        app = create_app(gateway, settings.max_body_bytes)
        self._server = CallerServer(settings, app, parts.env.clock)
        metrics.PENDING.set_function(lambda: self._dispatcher.pending_count)
        metrics.AVOIDED_POOLS.set_function(lambda: len(self._dispatcher.avoided_pools))
        parts.bundles.subscribe(lambda bundle: metrics.BUNDLE_VERSION.set(bundle.version))

    @property
    def dispatcher(self) -> Dispatcher:
        """Requests that wait for pools."""
        return self._dispatcher

    @property
    def server(self) -> CallerServer:
        """Server of the callers' API."""
        return self._server

    @property
    def reports(self) -> Mapping[str, Report]:
        """Status for the operators' command."""
        return {STATUS_PATH: self.status}

    def reasons(self) -> Sequence[str]:
        """Has no reason of its own not to be ready."""
        return ()

    def start(self) -> None:
        """Takes callers."""
        self._dispatcher.start()
        self._server.start()

    def drain(self) -> None:
        """Finishes every request in flight; the skeleton refuses new ones already."""
        self._server.drain()

    def status(self) -> dict[str, Any]:
        """Returns what `siskindale status` shows of an entry beyond the common part."""
        return {
            "avoided_pools": self._dispatcher.avoided_pools,
            "pending_requests": self._dispatcher.pending_count,
            "connections": self._server.connection_count,
            "dropped_answers": dict(self._dispatcher.dropped),
        }
