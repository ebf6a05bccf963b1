"""Settings generated from settings.capnp; do not edit."""

from pydantic import Field

from celeryfield.internal.schema.base import SettingsModel


class IdentitySettings(SettingsModel):
    """Section [node]: who this node is."""

    id: str = Field(
        description="Unique name of the node; letters, digits, dots and hyphens."
    )
    zone: str = Field(description="Availability zone of the VM.")
    region: str = Field(description="Region of the VM.")
    address: str = Field(
        default="127.0.0.1", description="IP address that other nodes use."
    )


class ListenSettings(SettingsModel):
    """Section [listen]: ports of the listeners."""

    caller_port: int = Field(
        default=7300, description="HTTP for callers and the local upstream."
    )
    peer_port: int = Field(
        default=7301, description="TCP and UDP for other nodes."
    )
    admin_port: int = Field(
        default=7302,
        description="HTTP administration API, metrics and upstream announcements.",
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
        description="Largest accepted request or answer body. Unit: bytes.",
    )


class StoreSettings(SettingsModel):
    """Section [store]: the platform's object API."""

    url: str = Field(
        default="", description="Base URL; empty runs without a store."
    )
    timeout_ms: float = Field(
        default=2000.0, ge=1, description="Deadline of one call. Unit: ms."
    )
    calls_per_second: float = Field(
        default=2.0, ge=0.01, description="Budget of this node."
    )
    burst: int = Field(
        default=20, ge=1, description="Calls that may be made at once."
    )
    watch_seconds: float = Field(
        default=10.0,
        ge=1,
        description="Longest wait of one watch call. Unit: s.",
    )


class DispatchSettings(SettingsModel):
    """Section [dispatch]: admission to the local upstream."""

    queue_length: int = Field(
        default=200, ge=1, description="Most calls waiting."
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
        description="Share of slots that long jobs may hold.",
    )
    slow_start_ms: float = Field(
        default=5000.0, ge=0, description="Ramp of a cold upstream. Unit: ms."
    )
    minimum_limit: int = Field(
        default=2, ge=1, description="The limit never falls below this."
    )
    announce_ttl_ms: float = Field(
        default=6000.0,
        ge=100,
        description="An upstream that stops announcing itself is gone after this time. Unit: ms.",
    )
    suspect_ttl_ms: float = Field(
        default=600000.0,
        ge=1000,
        description="How long a suspect request is remembered. Unit: ms.",
    )
    suspect_count: int = Field(
        default=1024, ge=16, description="Most suspects remembered."
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
        description="Another zone is used if an answer is expected from there earlier by this much. Unit: ms.",
    )
    eject_ms: float = Field(
        default=2000.0,
        ge=100,
        description="First ejection of an outlier. Unit: ms.",
    )
    max_ejected_share: float = Field(
        default=0.34,
        ge=0,
        le=1,
        description="Largest share of candidates ejected at once.",
    )
    hedge_ratio: float = Field(
        default=0.05, ge=0, le=1, description="Hedges per first attempt."
    )
    minimum_allowance: int = Field(
        default=0, description="Retry allowance of calls with an unknown chain."
    )
    silent_ms: float = Field(
        default=500.0,
        ge=50,
        description="A connection with outstanding work is probed after this silence. Unit: ms.",
    )
    silent_close_ms: float = Field(
        default=1500.0,
        ge=100,
        description="A silent connection is closed after this time. Unit: ms.",
    )
    cancel_timeout_ms: float = Field(
        default=1000.0,
        ge=10,
        description="Longest wait for the answer to a cancel. Unit: ms.",
    )
    level_ttl_ms: float = Field(
        default=1000.0,
        ge=50,
        description="Admission levels of other nodes expire after this time. Unit: ms.",
    )
    zone_penalty_kb_ms: float = Field(
        default=40.0,
        ge=0,
        description="Added to the penalty for each KB that a call of the class carries on average. Unit: ms.",
    )


class IdempotencySettings(SettingsModel):
    """Section [idempotency]: run-once work."""

    key_ttl_ms: float = Field(
        default=900000.0,
        ge=1000,
        description="Life of an issued key. Unit: ms.",
    )
    answer_bytes: int = Field(
        default=65536,
        description="Largest answer (headers and body) kept for re-sends. Unit: bytes.",
    )
    total_answer_bytes: int = Field(
        default=8388608,
        description="All answers kept; the oldest are dropped first. Unit: bytes.",
    )
    max_entries: int = Field(
        default=32768,
        ge=1,
        description="Most runs remembered at once; beyond this new runs are refused as not-run.",
    )


class MembershipSettings(SettingsModel):
    """Section [membership]: gossip between nodes."""

    probe_interval_ms: float = Field(
        default=1000.0,
        ge=10,
        description="One member is probed each interval. Unit: ms.",
    )
    probe_timeout_ms: float = Field(
        default=300.0,
        ge=5,
        description="Wait for an ack before indirect probes. Unit: ms.",
    )
    suspicion_ms: float = Field(
        default=4000.0,
        ge=50,
        description="A suspect is declared dead after this time. Unit: ms.",
    )
    indirect_probes: int = Field(
        default=3, description="Members asked to probe on behalf of this node."
    )
    max_suspect_share: float = Field(
        default=0.34,
        ge=0,
        le=1,
        description="Above this share of suspects the old view is kept.",
    )
    lease_ms: float = Field(
        default=9000.0, ge=100, description="Life of a seed lease. Unit: ms."
    )
    seeds_per_zone: int = Field(
        default=2, ge=1, description="Seed leases per availability zone."
    )
    secret_file: str = Field(
        default="",
        description="File with the shared secret that authenticates gossip; empty disables it.",
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
    """Section [log]: JSON-lines log."""

    level: str = Field(
        default="info", description="debug, info, warning or error."
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
