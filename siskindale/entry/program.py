"""Service of `siskindale-entry`, run by the common program skeleton."""

from collections.abc import Mapping, Sequence
from typing import Any

from siskindale.entry import metrics
from siskindale.entry.api import create_app
from siskindale.entry.dispatcher import Dispatcher
from siskindale.entry.gateway import Gateway
from siskindale.entry.routes import DirectoryRoutes
from siskindale.entry.server import CallerServer
from siskindale.runtime.health import Report
from siskindale.runtime.program import STATUS_PATH, ProgramComponents


class EntryService:
    """Combines the HTTP server for callers, the gateway and the dispatcher."""

    def __init__(self, components: ProgramComponents) -> None:
        self._components = components
        settings = components.settings.entry
        routes = DirectoryRoutes(components.directory, components.bundles)
        self._dispatcher = Dispatcher(components.mailbox, routes, components.env.clock)
        gateway = Gateway(components, self._dispatcher)
        app = create_app(gateway, settings.max_body_bytes)
        self._server = CallerServer(settings, app, components.env.clock)
        metrics.PENDING.set_function(lambda: self._dispatcher.pending_count)
        metrics.AVOIDED_POOLS.set_function(lambda: len(self._dispatcher.avoided_pools))
        components.bundles.subscribe(lambda bundle: metrics.BUNDLE_VERSION.set(bundle.version))

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of requests to the pools."""
        return self._dispatcher

    @property
    def server(self) -> CallerServer:
        """HTTP server of the callers' API."""
        return self._server

    @property
    def reports(self) -> Mapping[str, Report]:
        """Status document for operators."""
        return {STATUS_PATH: self.status}

    def not_ready_reasons(self) -> Sequence[str]:
        """Returns no reasons: the entry adds none to those of the skeleton."""
        return ()

    def start(self) -> None:
        """Starts the dispatcher and accepts callers."""
        self._dispatcher.start()
        self._server.start()

    def drain(self) -> None:
        """Blocks until every request in flight is finished; new ones are already refused."""
        self._server.drain()

    def status(self) -> dict[str, Any]:
        """Returns the fields that `siskindale status` shows only for an entry."""
        return {
            "avoided_pools": self._dispatcher.avoided_pools,
            "pending_requests": self._dispatcher.pending_count,
            "connections": self._server.connection_count,
            "dropped_answers": dict(self._dispatcher.dropped_answers),
        }
