"""HTTP listener for operators, metrics and announcements of the upstream."""

import ssl
from collections.abc import Callable

from aiohttp import web
from mode import Service

from celeryfield.internal import listening
from celeryfield.internal.admin import auth
from celeryfield.internal.admin.models import Accepted, HealthAnswer
from celeryfield.internal.admin.replies import (
    Handler,
    error_response,
    handle_errors,
    model_response,
    read_body,
)
from celeryfield.internal.metrics import Metrics
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.upstream.announcements import (
    Announcement,
    AnnouncementTracker,
)

# Large enough for a file set of the maximum size with JSON escapes in its text.
MAX_BODY_BYTES = 2_097_152


class AdminServer(Service):
    """Serves the administration API.

    Args:
        settings: Settings of this node.
        registry: Receives announcements of the upstream.
        metrics: Metrics of this node.
        is_ready: Returns whether this node can serve callers.
        routes: Further routes; the token is checked for each of them.
        ssl_context: Server-side TLS context; none for plain HTTP.

    Attributes:
        port: Port of the listener; 0 before the start.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        registry: AnnouncementTracker,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        routes: list[web.RouteDef],
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__()
        self.port = 0
        self._settings = settings
        self._registry = registry
        self._metrics = metrics
        self._is_ready = is_ready
        self._routes = routes
        self._ssl_context = ssl_context
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Opens the listener."""
        app = web.Application(
            middlewares=[self._authorize_request],
            client_max_size=MAX_BODY_BYTES,
        )
        app.add_routes(
            [
                web.post("/v1/announce", self._announce),
                web.get("/healthz", self._health),
                web.get("/metrics", self._render_metrics),
                *self._routes,
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        listen = self._settings.listen
        await listening.start_site(
            self._runner,
            listen.admin_address,
            listen.admin_port,
            ssl_context=self._ssl_context,
        )
        self.port = self._runner.addresses[0][1]

    def routes(self) -> list[web.AbstractRoute]:
        """Returns all registered routes; empty before the start."""
        return list(self._runner.app.router.routes()) if self._runner else []

    async def on_stop(self) -> None:
        """Closes the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authorize_request(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Checks the token and converts errors to JSON responses."""
        if not self._is_authorized(request):
            return error_response(
                401, "unauthorized", "send Authorization: Bearer TOKEN"
            )
        return await handle_errors(request, handler)

    def _is_authorized(self, request: web.Request) -> bool:
        if request.path == "/healthz":
            return True
        # The local upstream announces itself without a token.
        if request.path == "/v1/announce" and auth.is_loopback(request.remote):
            return True
        return auth.is_authorized(
            self._settings.admin, request.headers.get("authorization")
        )

    async def _announce(self, request: web.Request) -> web.Response:
        self._registry.accept(await read_body(request, Announcement))
        return model_response(Accepted(accepted=True))

    async def _health(self, _request: web.Request) -> web.Response:
        is_ready = self._is_ready()
        return model_response(
            HealthAnswer(ready=is_ready), 200 if is_ready else 503
        )

    async def _render_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(),
            headers={"content-type": "text/plain; version=0.0.4"},
        )
