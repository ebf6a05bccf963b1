"""Bodies and queries of the administration API."""

from typing import Annotated

import pydantic

from celeryfield.internal.config.diff import Change
from celeryfield.internal.inifile import Problem

MAX_AUTHOR_LENGTH = 100


class ApiModel(pydantic.BaseModel):
    """Base of all answers; clients ignore fields that they do not know."""

    model_config = pydantic.ConfigDict(extra="ignore")


class RequestModel(pydantic.BaseModel):
    """Base of all requests; a misspelt field is an error."""

    model_config = pydantic.ConfigDict(extra="forbid")


class ErrorDetail(ApiModel):
    """What went wrong, for programs and for people."""

    code: str
    message: str


class ProblemItem(ApiModel):
    """One reason why a file set is refused."""

    file: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        return str(Problem(self.file, self.section, self.key, self.reason))


class ChangeItem(ApiModel):
    """One difference between the current set and a refused one."""

    kind: str
    section: str
    key: str
    old: str
    new: str
    text: str

    @classmethod
    def from_change(cls, change: Change) -> "ChangeItem":
        """Returns the item of one difference."""
        return cls(
            kind=change.kind,
            section=change.section,
            key=change.key,
            old=change.old,
            new=change.new,
            text=str(change),
        )


class ErrorAnswer(ApiModel):
    """Every answer with a status of 400 or above.

    Attributes:
        error: What went wrong.
        problems: Reasons why a file set is refused.
        current_version: Version in the store, after a conflict.
        changes: What the refused set would change in the current one.
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
    """A whole file set.

    Attributes:
        files: All files of the set.
        expected_version: Version that the operator saw; 0 for none.
        author: Name of the operator, for the history.
    """

    files: list[FileItem]
    expected_version: int = pydantic.Field(ge=0, lt=2**64)
    author: str = pydantic.Field(min_length=1, max_length=MAX_AUTHOR_LENGTH)


class ApplyAnswer(ApiModel):
    """A file set that is now the current one of its team."""

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
    """The file sets in force at this node, and names held by two teams."""

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
        history: Latest versions, newest first; empty if the store does not
            answer.
        history_error: Why there is no history, or an empty string.
    """

    current: FileSetSummary
    files: list[FileItem]
    history: list[HistoryEntry]
    history_error: str


class InForceQuery(RequestModel):
    """Query of the question where a version is in force."""

    version: int = pydantic.Field(ge=1)


class InForceAnswer(ApiModel):
    """How many members have a version, or a newer one, in force.

    Attributes:
        team: Team of the file set.
        version: Version that was asked for.
        members: Members that are not leaving.
        in_force: Members known to have the version.
        behind: Members known to have an older version.
        unknown: Members that did not answer or were not asked yet.
        is_everywhere: Whether all members have the version.
        missing: Some of the members that are not known to have it.
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
    """Names the node to drain; empty for the node that is asked."""

    node: str = ""


class DrainAnswer(ApiModel):
    """A node that leaves and then ends its process."""

    node: str
    state: str


class ExplainQuery(RequestModel):
    """Query for the rule of a class, or of one request."""

    model_config = pydantic.ConfigDict(extra="forbid", populate_by_name=True)

    service: str
    class_name: Annotated[str, pydantic.Field(alias="class")] = ""
    method: str = "GET"
    path: str = ""


class ExplainAnswer(ApiModel):
    """The rule that applies and why.

    Attributes:
        service: Service that was asked for.
        class_name: Class of the request.
        routes: Routes that lead to the class; empty for the default class.
        priority: Higher is shed later.
        team: Team that owns the service.
        class_team: Team that owns the class.
        retry_allowance: Extra attempts in the whole chain.
        timeout_ms: Deadline of a request that brings none.
        run_once: The request never runs twice.
        repeatable: The request may be sent again after it has started.
        hedge: A slow first attempt gets a second one.
        long_running: The request runs many times longer than others.
        lowest_priority: Lowest priority admitted at present, as known here.
        is_shed: Calls of the class are refused at present.
        candidates: Upstreams that are ready.
        reasons: The same in words.
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
    """An announcement that was taken."""

    accepted: bool


class HealthAnswer(ApiModel):
    """Whether the node can serve callers."""

    ready: bool
