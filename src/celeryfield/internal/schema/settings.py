"""Settings generated from settings.capnp; do not edit."""

from pydantic import Field

from celeryfield.internal.schema.base import SettingsModel


class IdentitySettings(SettingsModel):
    """Section [node]: identity of this node."""

    id: str = Field(
        description="Unique name of the node; letters, digits, dots and hyphens."
    )
    zone: str = Field(description="Availability zone of the VM.")
    region: str = Field(description="Region of the VM.")
    address: str = Field(
        default="127.0.0.1",
        description="IP address under which other nodes reach this one.",
    )


class ListenSettings(SettingsModel):
    """Section [listen]: ports of the listeners."""

    caller_port: int = Field(
        default=7300,
        description="HTTP port for callers and the local upstream.",
    )
    peer_port: int = Field(
        default=7301, description="TCP and UDP port for other nodes."
    )
    admin_port: int = Field(
        default=7302,
        description="HTTP port for the administration API, metrics and upstream announcements.",
    )
    admin_address: str = Field(
        default="127.0.0.1",
        description="IP address of the administration listener.",
    )
    max_header_bytes: int = Field(
        default=16384,
        ge=1024,
        description="Largest accepted header block. Unit: bytes.",
    )
    max_body_bytes: int = Field(
        default=16777216,
        ge=1024,
        description="Largest accepted request or response body. Unit: bytes.",
    )


class StoreSettings(SettingsModel):
    """Section [store]: the platform's object API."""

    url: str = Field(
        default="",
        description="Base URL; if empty, the node runs without a store.",
    )
    timeout_ms: float = Field(
        default=2000.0, ge=1, description="Deadline of a store call. Unit: ms."
    )
    calls_per_second: float = Field(
        default=2.0,
        ge=0.01,
        description="Average rate of store calls that this node may make.",
    )
    burst: int = Field(
        default=20, ge=1, description="Store calls that may be made in a burst."
    )
    watch_seconds: float = Field(
        default=10.0, ge=1, description="Longest wait of a watch call. Unit: s."
    )


class DispatchSettings(SettingsModel):
    """Section [dispatch]: admission to the local upstream."""

    queue_length: int = Field(
        default=200, ge=1, description="Maximum number of waiting calls."
    )
    queue_target_ms: float = Field(
        default=20.0,
        ge=1,
        description="Queue delay above which load is shed. Unit: ms.",
    )
    interval_ms: float = Field(
        default=100.0,
        ge=10,
        description="Interval of limit and level adjustments. Unit: ms.",
    )
    long_share: float = Field(
        default=0.5,
        ge=0.05,
        le=1,
        description="Share of slots that long-running calls may occupy.",
    )
    slow_start_ms: float = Field(
        default=5000.0,
        ge=0,
        description="Time over which a cold upstream is ramped up to full load. Unit: ms.",
    )
    minimum_limit: int = Field(
        default=2, ge=1, description="Lower bound of the concurrency limit."
    )
    announce_ttl_ms: float = Field(
        default=6000.0,
        ge=100,
        description="An upstream is considered gone this long after its last announcement. Unit: ms.",
    )
    suspect_ttl_ms: float = Field(
        default=600000.0,
        ge=1000,
        description="Time for which a suspect request is stored. Unit: ms.",
    )
    suspect_count: int = Field(
        default=1024,
        ge=16,
        description="Maximum number of stored suspect requests.",
    )


class RoutingSettings(SettingsModel):
    """Section [routing]: choice of candidates, retries and hedges."""

    policy: str = Field(
        default="adaptive",
        description="adaptive, or baseline (round robin, three tries per hop, no shedding).",
    )
    zone_penalty_ms: float = Field(
        default=20.0,
        ge=0,
        description="Another zone is used if its expected response is earlier by more than this. Unit: ms.",
    )
    eject_ms: float = Field(
        default=2000.0,
        ge=100,
        description="Duration of the first ejection of an outlier. Unit: ms.",
    )
    max_ejected_share: float = Field(
        default=0.34,
        ge=0,
        le=1,
        description="Largest share of candidates that may be ejected at once.",
    )
    hedge_ratio: float = Field(
        default=0.05, ge=0, le=1, description="Hedges per first attempt."
    )
    minimum_allowance: int = Field(
        default=0,
        description="Retry allowance of calls whose chain is unknown.",
    )
    silent_ms: float = Field(
        default=500.0,
        ge=50,
        description="A connection with outstanding calls is probed after this time without data. Unit: ms.",
    )
    silent_close_ms: float = Field(
        default=1500.0,
        ge=100,
        description="A connection without data is closed after this time. Unit: ms.",
    )
    cancel_timeout_ms: float = Field(
        default=1000.0,
        ge=10,
        description="Longest wait for the response to a cancel. Unit: ms.",
    )
    level_ttl_ms: float = Field(
        default=1000.0,
        ge=50,
        description="Time after which admission levels of other nodes expire. Unit: ms.",
    )
    zone_penalty_kb_ms: float = Field(
        default=40.0,
        ge=0,
        description="Added to the penalty for each KB of the average call of the class. Unit: ms.",
    )


class IdempotencySettings(SettingsModel):
    """Section [idempotency]: run-once work."""

    key_ttl_ms: float = Field(
        default=900000.0,
        ge=1000,
        description="Lifetime of an issued key. Unit: ms.",
    )
    answer_bytes: int = Field(
        default=65536,
        description="Largest response (headers and body) that is stored for repeated requests. Unit: bytes.",
    )
    total_answer_bytes: int = Field(
        default=8388608,
        description="Total size of the stored responses; the oldest are dropped first. Unit: bytes.",
    )
    max_entries: int = Field(
        default=32768,
        ge=1,
        description="Maximum number of stored runs; beyond it, new runs are rejected as not-run.",
    )


class MembershipSettings(SettingsModel):
    """Section [membership]: gossip between nodes."""

    probe_interval_ms: float = Field(
        default=1000.0,
        ge=10,
        description="One member is probed per interval. Unit: ms.",
    )
    probe_timeout_ms: float = Field(
        default=300.0,
        ge=5,
        description="Wait for an acknowledgement before indirect probes are sent. Unit: ms.",
    )
    suspicion_ms: float = Field(
        default=4000.0,
        ge=50,
        description="A suspect is declared dead after this time. Unit: ms.",
    )
    indirect_probes: int = Field(
        default=3,
        description="Number of members that are asked to probe on behalf of this node.",
    )
    max_suspect_share: float = Field(
        default=0.34,
        ge=0,
        le=1,
        description="If the share of suspects is larger, the previous view is kept.",
    )
    lease_ms: float = Field(
        default=9000.0,
        ge=100,
        description="Duration of a seed lease. Unit: ms.",
    )
    seeds_per_zone: int = Field(
        default=2,
        ge=1,
        description="Number of seed leases per availability zone.",
    )
    secret_file: str = Field(
        default="",
        description="File with the shared secret that authenticates gossip; if empty, gossip is not authenticated.",
    )


class AdminSettings(SettingsModel):
    """Section [admin]: access to the administration API."""

    token_hashes: tuple[str, ...] = Field(
        default=(), description="SHA-256 hashes (hex) of accepted tokens."
    )


class TlsSettings(SettingsModel):
    """Section [tls]: optional TLS on every listener."""

    certificate_file: str = Field(default="")
    key_file: str = Field(default="")
    ca_file: str = Field(
        default="",
        description="Peers must present a certificate signed by this authority.",
    )


class LogSettings(SettingsModel):
    """Section [log]: log in JSON lines."""

    level: str = Field(
        default="info",
        description="Lowest level that is logged: debug, info, warning or error.",
    )


class NodeSettings(SettingsModel):
    """All settings of one node."""

    node: IdentitySettings = Field()
    listen: ListenSettings = Field(default_factory=ListenSettings)
    store: StoreSettings = Field(default_factory=StoreSettings)
    dispatch: DispatchSettings = Field(default_factory=DispatchSettings)
    routing: RoutingSettings = Field(default_factory=RoutingSettings)
    idempotency: IdempotencySettings = Field(
        default_factory=IdempotencySettings
    )
    membership: MembershipSettings = Field(default_factory=MembershipSettings)
    admin: AdminSettings = Field(default_factory=AdminSettings)
    tls: TlsSettings = Field(default_factory=TlsSettings)
    log: LogSettings = Field(default_factory=LogSettings)
