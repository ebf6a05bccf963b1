"""Deployments and request mixes of the scenarios.

Both example file sets are used unchanged. The slots and connections of each
server are divided by ``SCALE_DIVISOR``; the number of servers is kept.
"""

import dataclasses
import pathlib

import celeryfield
from celeryfield.standins.cluster import NodePlan
from celeryfield.standins.upstream import Endpoint, SubCall

SCALE_DIVISOR = 5
EXAMPLES = pathlib.Path(celeryfield.__file__).parent / "examples"


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one class.

    Attributes:
        name: Class of the requests.
        path: Service and path; a request number is appended.
        rate: Requests per second at rate factor 1.
        workspace: Sending workspace.
        timeout_ms: Time after which the caller gives up an attempt.
        method: HTTP method.
        run_once: Whether requests are sent with an idempotency key.
        important: Whether the class is one of the most important ones.
        bottleneck_slot_s: Slot seconds that one request uses of the bottleneck
            service.
        scales_with_load: Whether the rate is multiplied by the rate factor;
            otherwise it is constant.
    """

    name: str
    path: str
    rate: float
    workspace: str
    timeout_ms: int = 1000
    method: str = "GET"
    run_once: bool = False
    important: bool = False
    bottleneck_slot_s: float = 0.0
    scales_with_load: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class ServerGroup:
    """The identical servers of one service.

    Attributes:
        service: Service of the file set.
        count: Number of servers.
        slots: Slots of each server, before scaling.
        connections: Connections of each server, before scaling.
        endpoints: How each server handles its paths.
    """

    service: str
    count: int
    slots: int
    connections: int
    endpoints: tuple[Endpoint, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """One deployment with its request mix.

    Attributes:
        team: Team of the example file set.
        zones: Availability zones; servers of a service are spread over them.
        servers: Servers of all services.
        flows: Request mix.
        bottleneck: Service that is overloaded.
    """

    team: str
    zones: tuple[str, ...]
    servers: tuple[ServerGroup, ...]
    flows: tuple[Flow, ...]
    bottleneck: str

    @property
    def directory(self) -> pathlib.Path:
        """Directory of the file set."""
        return EXAMPLES / self.team

    @property
    def capacity(self) -> float:
        """Slots of the bottleneck service, scaled."""
        return sum(
            server.count * (server.slots // SCALE_DIVISOR)
            for server in self.servers
            if server.service == self.bottleneck
        )

    def rate_factor(self, load: float) -> float:
        """Returns the rate factor that puts a load on the bottleneck service.

        Args:
            load: Offered slot seconds per second, as a share of the capacity.
        """
        constant = sum(
            f.rate * f.bottleneck_slot_s
            for f in self.flows
            if not f.scales_with_load
        )
        scaling = sum(
            f.rate * f.bottleneck_slot_s
            for f in self.flows
            if f.scales_with_load
        )
        return max((load * self.capacity - constant) / scaling, 0.0)

    def plans(self) -> list[NodePlan]:
        """Returns the plans of all nodes, with scaled servers."""
        return [
            NodePlan(
                f"{server.service}-{index + 1}",
                server.service,
                self.zones[index % len(self.zones)],
                server.slots // SCALE_DIVISOR,
                server.connections // SCALE_DIVISOR,
                server.endpoints,
                self.team,
            )
            for server in self.servers
            for index in range(server.count)
        ]


def _run_once_flow(
    name: str, path: str, rate: float, workspace: str, timeout_ms: int
) -> Flow:
    """Returns an important flow of constant rate that must run once."""
    return Flow(
        name, path, rate, workspace, timeout_ms, "POST", True, True, 0.2, False
    )


HU_ZONES = ("hu-west-a", "hu-west-b", "hu-west-c")
BATINAH_ZONES = ("batinah-a", "batinah-b", "batinah-c", "batinah-d")

_STOCK = ServerGroup("stock", 3, 70, 500, (Endpoint("/", 200),))
_HU_ORDERS = (
    _STOCK,
    ServerGroup("pricing", 3, 70, 500, (Endpoint("/", 50),)),
    ServerGroup("scheduling", 3, 70, 500, (Endpoint("/", 200),)),
    ServerGroup(
        "order",
        3,
        70,
        500,
        (
            Endpoint(
                "/",
                100,
                (
                    SubCall("stock", "/items/elbow-90"),
                    SubCall("pricing", "/prices/elbow-90"),
                    SubCall("scheduling", "/slots"),
                ),
            ),
        ),
    ),
)
# Scheduling serves 42 slots / 0.2 s = 210 calls/s; the important flows need 65.
HAJLITOCSO = Workload(
    "hajlitocso",
    HU_ZONES,
    _HU_ORDERS,
    (
        _run_once_flow("order-placement", "order/orders", 25, "fitters", 3000),
        _run_once_flow("line-booking", "scheduling/line", 40, "fitters", 2000),
        Flow(
            "schedule-read",
            "scheduling/slots",
            145,
            "shop",
            bottleneck_slot_s=0.2,
        ),
        Flow("stock-check", "stock/items", 40, "shop", scales_with_load=False),
    ),
    "scheduling",
)
# Berth serves 28 slots / 0.2 s = 140 calls/s; the important flows need 20.
SOHAR = Workload(
    "sohar",
    BATINAH_ZONES,
    (
        ServerGroup("berth", 4, 35, 300, (Endpoint("/", 200),)),
        ServerGroup("tide", 4, 35, 300, (Endpoint("/", 200),)),
        ServerGroup(
            "bell",
            4,
            35,
            300,
            (
                Endpoint("/state", 100),
                Endpoint(
                    "/command",
                    100,
                    (
                        SubCall("berth", "/berths/7"),
                        SubCall("tide", "/tides/7"),
                    ),
                ),
            ),
        ),
    ),
    (
        _run_once_flow(
            "bell-command", "bell/command", 20, "berth-masters", 2000
        ),
        Flow(
            "bell-state-read",
            "bell/state",
            60,
            "pilots",
            important=True,
            scales_with_load=False,
        ),
        Flow(
            "berth-status",
            "berth/berths",
            120,
            "services",
            bottleneck_slot_s=0.2,
        ),
        Flow("tide-status", "tide/tides", 40, "pilots", scales_with_load=False),
    ),
    "berth",
)
# For a rotating straggler among three; 84 calls/s are 0.4 of the capacity.
STOCK = Workload(
    "hajlitocso",
    HU_ZONES,
    (_STOCK,),
    (
        Flow(
            "stock-check",
            "stock/items",
            84,
            "shop",
            5000,
            bottleneck_slot_s=0.2,
        ),
    ),
    "stock",
)
# Short calls use a fifth of the slots; long calls are sent at three times the
# capacity.
TIMETABLE = Workload(
    "sohar",
    BATINAH_ZONES,
    (
        ServerGroup(
            "timetable",
            4,
            10,
            150,
            (Endpoint("/departures", 50), Endpoint("/full", 1000)),
        ),
    ),
    (
        Flow("timetable-lookup", "timetable/departures", 32, "pilots", 2000),
        Flow("full-timetable", "timetable/full", 24, "services", 6000),
    ),
    "timetable",
)
DRAWING = Workload(
    "hajlitocso",
    HU_ZONES,
    (
        ServerGroup(
            "drawing",
            3,
            15,
            180,
            (Endpoint("/simple", 50), Endpoint("/complex", 1000)),
        ),
    ),
    (
        Flow("simple-drawing", "drawing/simple", 36, "fitters", 3000),
        Flow("complex-drawing", "drawing/complex", 27, "shop", 6000),
    ),
    "drawing",
)
