"""Models of the requests and responses of the administration API."""

from typing import Annotated

import pydantic

from celeryfield.internal.config.diff import Change
from celeryfield.internal.inifile import Problem

MAX_AUTHOR_LENGTH = 100


class ApiModel(pydantic.BaseModel):
    """Base of all responses; clients ignore unknown fields."""

    model_config = pydantic.ConfigDict(extra="ignore")


class RequestModel(pydantic.BaseModel):
    """Base of all requests; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid")


class ErrorDetail(ApiModel):
    """An error code for programs and a message for people."""

    code: str
    message: str


class ProblemItem(ApiModel):
    """One reason why a file set is rejected."""

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        return str(Problem(self.file, self.section, self.key, self.reason))


class ChangeItem(ApiModel):
    """One difference between the current file set and a rejected one."""

    kind: str
    section: str
    key: str
    old: str
    new: str
    text: str

    @classmethod
    def from_change(cls, change: Change) -> "ChangeItem":
        """Creates the item for a change."""
        return cls(
            kind=change.kind,
            section=change.section,
            key=change.key,
            old=change.old,
            new=change.new,
            text=str(change),
        )


class ErrorAnswer(ApiModel):
    """Body of every response with a status of 400 or above.

    Attributes:
        error: Code and message.
        problems: Reasons why a file set is rejected.
        current_version: Version in the store after a conflict.
        changes: What the rejected set would change in the current one.
    """

    error: ErrorDetail
    problems: list[ProblemItem] = []
    current_version: int | None = None
    changes: list[ChangeItem] = []


class FileItem(ApiModel):
    """One file of a file set."""

    name: str
    text: str


class ApplyRequest(RequestModel):
    """A complete file set to apply.

    Attributes:
        files: All files of the set.
        expected_version: Version that the operator has reviewed; 0 if the team
            has no set yet.
        author: Name of the operator, for the history.
    """

    files: list[FileItem]
    expected_version: int = pydantic.Field(ge=0, lt=2**64)
    author: str = pydantic.Field(min_length=1, max_length=MAX_AUTHOR_LENGTH)


class ApplyAnswer(ApiModel):
    """The file set that is now the current one of its team."""

    team: str
    version: int


class FileSetSummary(ApiModel):
    """A file set that is in force at this node."""

    team: str
    version: int
    author: str
    applied_at_ms: int
    description: str


class FileSetList(ApiModel):
    """File sets in force at this node, and names that two teams define."""

    filesets: list[FileSetSummary]
    conflicts: list[str]


class HistoryEntry(ApiModel):
    """One earlier version of a file set."""

    version: int
    author: str
    applied_at_ms: int


class FileSetAnswer(ApiModel):
    """One file set with its files.

    Attributes:
        current: The set in force at this node.
        files: Its files.
        history: Latest versions, newest first; empty if the store cannot be
            read.
        history_error: Why the history cannot be read, or an empty string.
    """

    current: FileSetSummary
    files: list[FileItem]
    history: list[HistoryEntry]
    history_error: str


class InForceQuery(RequestModel):
    """Query for the members that have a version in force."""

    version: int = pydantic.Field(ge=1)


class InForceAnswer(ApiModel):
    """How many members have a version, or a newer one, in force.

    Attributes:
        team: Team of the file set.
        version: Version in the query.
        members: Members that are not leaving.
        in_force: Members known to have the version.
        behind: Members known to have an older version.
        unknown: Members that did not respond or were not queried.
        is_everywhere: Whether all members have the version.
        missing: Ids of members that are not known to have the version; at most
            20.
    """

    team: str
    version: int
    members: int
    in_force: int
    behind: int
    unknown: int
    is_everywhere: bool
    missing: list[str]


class DrainRequest(RequestModel):
    """The node to drain; empty for the node that receives the request."""

    node: str = ""


class DrainAnswer(ApiModel):
    """A node that finishes its calls and then ends its process."""

    node: str
    state: str


class ExplainQuery(RequestModel):
    """Query for the rule of a class, or of a method and path."""

    model_config = pydantic.ConfigDict(extra="forbid", populate_by_name=True)

    service: str
    class_name: Annotated[str, pydantic.Field(alias="class")] = ""
    method: str = "GET"
    path: str = ""


class ExplainAnswer(ApiModel):
    """The rule that applies, and why.

    Attributes:
        service: Service in the query.
        class_name: Class of the request.
        routes: Routes that select the class; empty for the default class.
        priority: Priority of the class; higher is shed later.
        team: Team that owns the service.
        class_team: Team that owns the class.
        retry_allowance: Extra attempts in the whole call chain.
        timeout_ms: Deadline of a request that specifies none.
        run_once: Whether the request must not run twice.
        repeatable: Whether the request may be sent again after it has started.
        hedge: Whether a slow first attempt is followed by a second one.
        long_running: Whether the request runs many times longer than others.
        lowest_priority: Lowest priority that is currently admitted, as far as
            this node knows.
        is_shed: Whether calls of the class are currently rejected.
        candidates: Number of ready upstreams.
        reasons: The explanation as sentences.
    """

    service: str
    class_name: str
    routes: list[str]
    priority: int
    team: str
    class_team: str
    retry_allowance: int
    timeout_ms: float
    run_once: bool
    repeatable: bool
    hedge: bool
    long_running: bool
    lowest_priority: float
    is_shed: bool
    candidates: int
    reasons: list[str]


class Accepted(ApiModel):
    """Response to an announcement that was accepted."""

    accepted: bool


class HealthAnswer(ApiModel):
    """Whether the node is ready to serve callers."""

    ready: bool
