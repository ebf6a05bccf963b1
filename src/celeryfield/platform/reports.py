"""HTTP listeners for status reports of the upstream and readiness checks."""

import ipaddress
import logging
from collections.abc import Awaitable, Callable
from typing import Annotated

import pydantic
from aiohttp import web

from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.registry import records
from celeryfield.internal.upstream.tracker import UpstreamReport
from celeryfield.platform.fields import PlatformModel, describe_first_error
from celeryfield.platform.listeners import HttpListener
from celeryfield.platform.settings import ListenAddress

logger = logging.getLogger(__name__)

MAX_REPORT_BYTES = 64 * 1024
MAX_SEQUENCE = 2**63
_REPORT_PATH = "/instances/"
_READY_PATH = "/ready"
_STATES = ("ready", "draining")


def _check_address(address: str) -> str:
    """Accepts ``host:port`` with an IP address, since no names are looked up.

    Raises:
        ValueError: The text is another one.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 1 <= len(port) <= 5:
        raise ValueError("the port is not a number of up to five digits")
    if not 1 <= int(port) <= 65_535:
        raise ValueError("the port is out of range")
    return address


class _Report(PlatformModel):
    """Body of a status report; the path contains the id of the upstream.

    ``born`` is the start time of the upstream in Unix ms. Fields of another
    type are refused, not converted: they come from another writer.
    """

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, validate_by_name=True, strict=True
    )

    service: str = pydantic.Field(
        min_length=1, max_length=records.MAX_NAME_LENGTH
    )
    address: Annotated[str, pydantic.AfterValidator(_check_address)]
    slots: int = pydantic.Field(ge=1, le=records.MAX_SLOTS)
    state: str
    cold_ms: float = pydantic.Field(
        alias="coldRemainingMs", default=0, ge=0, le=records.MAX_TIME_MS
    )
    sequence: int = pydantic.Field(ge=0, le=MAX_SEQUENCE)
    born_ms: int = pydantic.Field(
        alias="born", default=0, ge=0, le=records.MAX_TIME_MS
    )

    @property
    def known_cold_ms(self) -> float | None:
        """Remaining cold time in ms; None if the report does not tell."""
        return self.cold_ms if "cold_ms" in self.model_fields_set else None


class ReportListener(HttpListener):
    """Receives status reports of the upstream.

    Args:
        address: Where to listen.
        on_report: Handles a report; returns whether to acknowledge it.
        on_leave: Handles the notice that the upstream with an id is leaving;
            returns whether to acknowledge it.
    """

    def __init__(
        self,
        address: ListenAddress,
        on_report: Callable[[UpstreamReport], Awaitable[bool]],
        on_leave: Callable[[str], Awaitable[bool]],
    ) -> None:
        super().__init__(address, self._handle)
        self._on_report = on_report
        self._on_leave = on_leave

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        upstream_id = request.path.removeprefix(_REPORT_PATH)
        has_id = request.path.startswith(_REPORT_PATH) and upstream_id
        if not has_id or "/" in upstream_id:
            return web.Response(status=404)
        if len(upstream_id) > records.MAX_NAME_LENGTH:
            return web.Response(status=400)
        if request.method == "DELETE":
            return _acknowledge(await self._on_leave(upstream_id))
        if request.method != "PUT":
            return web.Response(status=405)
        report = await self._parse_report(request, upstream_id)
        if report is None:
            return web.Response(status=400)
        return _acknowledge(await self._on_report(report))

    async def _parse_report(
        self, request: web.BaseRequest, upstream_id: str
    ) -> UpstreamReport | None:
        body = await read_bounded(request.content, MAX_REPORT_BYTES)
        try:
            content = _Report.model_validate_json(body or b"")
        except pydantic.ValidationError as error:
            logger.warning(
                "status report cannot be read",
                extra={
                    "upstream": upstream_id,
                    "problem": describe_first_error(error),
                },
            )
            return None
        if content.state not in _STATES:
            logger.warning(
                "status report names an unknown state",
                extra={"upstream": upstream_id, "state": content.state},
            )
            return None
        return UpstreamReport(
            upstream_id=upstream_id,
            born_ms=content.born_ms,
            sequence=content.sequence,
            service=content.service,
            address=content.address,
            slots=content.slots,
            state=content.state,
            cold_ms=content.known_cold_ms,
        )


def ready_listener(
    address: ListenAddress, is_ready: Callable[[], bool]
) -> HttpListener:
    """Returns a listener that answers readiness checks.

    Args:
        address: Where to listen.
        is_ready: Returns whether the node can serve callers.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != _READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if is_ready() else 503)

    return HttpListener(address, handle)


def _acknowledge(is_acknowledged: bool) -> web.Response:
    if not is_acknowledged:
        return web.Response(status=503)
    return web.Response(body=b"{}", content_type="application/json")
