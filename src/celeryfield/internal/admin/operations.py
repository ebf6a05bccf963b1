"""Table of the operations of the administration API."""

import dataclasses

import pydantic

from celeryfield.internal.admin import models
from celeryfield.internal.admin.status_models import StatusAnswer
from celeryfield.internal.upstream.announcements import Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """One HTTP method of one path.

    Attributes:
        method: HTTP method.
        path: Path, with parameters in braces.
        summary: Summary in the OpenAPI document.
        answer: Model of a successful response; none for plain text or JSON
            without a model.
        status: HTTP status of a successful response.
        body: Model of the request body, or none.
        query: Model of the query, or none.
        error_statuses: Error statuses other than 400, 401 and 500.
        is_public: Whether the operation needs no token.
    """

    method: str
    path: str
    summary: str
    answer: type[pydantic.BaseModel] | None = None
    status: int = 200
    body: type[pydantic.BaseModel] | None = None
    query: type[pydantic.BaseModel] | None = None
    error_statuses: tuple[int, ...] = ()
    is_public: bool = False


STATUS = Operation(
    "GET", "/v1/status", "Status of this node and its members.", StatusAnswer
)
FILESETS = Operation(
    "GET",
    "/v1/filesets",
    "File sets in force at this node.",
    models.FileSetList,
)
FILESET = Operation(
    "GET",
    "/v1/filesets/{team}",
    "Files and history of one file set.",
    models.FileSetAnswer,
    error_statuses=(404,),
)
APPLY = Operation(
    "POST",
    "/v1/filesets/{team}",
    "Applies a complete file set or none of it.",
    models.ApplyAnswer,
    body=models.ApplyRequest,
    error_statuses=(409, 413, 415, 422, 503, 504),
)
IN_FORCE = Operation(
    "GET",
    "/v1/filesets/{team}/in-force",
    "Counts the members that have a version in force.",
    models.InForceAnswer,
    query=models.InForceQuery,
)
DRAIN = Operation(
    "POST",
    "/v1/drain",
    "Makes a node finish its calls and end its process.",
    models.DrainAnswer,
    status=202,
    body=models.DrainRequest,
    error_statuses=(404, 413, 415, 503, 504),
)
EXPLAIN = Operation(
    "GET",
    "/v1/explain",
    "Explains which rule applies to a class or a request, and why.",
    models.ExplainAnswer,
    query=models.ExplainQuery,
    error_statuses=(404,),
)
OPENAPI = Operation("GET", "/v1/openapi.json", "This description.")
ANNOUNCE = Operation(
    "POST",
    "/v1/announce",
    "Heartbeat of the upstream; needs no token if sent from the same VM.",
    models.Accepted,
    body=Announcement,
    error_statuses=(413, 415),
)
HEALTH = Operation(
    "GET",
    "/healthz",
    "Whether the node is ready to serve callers; 503 if not.",
    models.HealthAnswer,
    is_public=True,
)
METRICS = Operation("GET", "/metrics", "Metrics in Prometheus text format.")

OPERATIONS = (
    STATUS,
    FILESETS,
    FILESET,
    APPLY,
    IN_FORCE,
    DRAIN,
    EXPLAIN,
    OPENAPI,
    ANNOUNCE,
    HEALTH,
    METRICS,
)
