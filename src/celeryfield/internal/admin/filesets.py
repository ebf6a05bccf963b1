"""Handlers that return and apply file sets."""

from collections.abc import Mapping

from aiohttp import web

from celeryfield.internal.admin.models import (
    ApplyAnswer,
    ApplyRequest,
    ChangeItem,
    FileItem,
    FileSetAnswer,
    FileSetList,
    FileSetSummary,
    HistoryEntry,
    ProblemItem,
)
from celeryfield.internal.admin.replies import (
    ApiError,
    api_error,
    model_response,
    read_body,
)
from celeryfield.internal.config.fileset import AppliedFileSet, compile_files
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.inifile import Problem
from celeryfield.internal.schema import wire
from celeryfield.internal.store.applier import (
    ApplyConflictError,
    ApplyError,
    ApplyRejectedError,
    ApplyUnavailableError,
    FileSetApplier,
)

_NO_STORE_MESSAGE = (
    "this node has no [store] url, so it cannot read or write file sets; "
    "send the request to a node that has one"
)


class FileSetHandlers:
    """Handles ``/v1/filesets`` and ``/v1/filesets/{team}``.

    Args:
        config: File sets in force at this node.
        applier: Writes to the store; none if the node has no store.
    """

    def __init__(
        self, config: ConfigManager, applier: FileSetApplier | None
    ) -> None:
        self._config = config
        self._applier = applier

    async def show_all(self, _request: web.Request) -> web.Response:
        """Returns the file sets in force."""
        sets_by_team = self._config.current_by_team
        summaries = [
            _summary(sets_by_team[team]) for team in sorted(sets_by_team)
        ]
        conflicts = [str(conflict) for conflict in self._config.conflicts]
        return model_response(
            FileSetList(filesets=summaries, conflicts=conflicts)
        )

    async def show(self, request: web.Request) -> web.Response:
        """Returns one file set with its history."""
        team = request.match_info["team"]
        applied = find_file_set(self._config.current_by_team, team)
        history, reason = await self._history(team)
        answer = FileSetAnswer(
            current=_summary(applied),
            files=[
                FileItem(name=entry.name, text=entry.text)
                for entry in applied.message.files
            ],
            history=history,
            history_error=reason,
        )
        return model_response(answer)

    async def apply(self, request: web.Request) -> web.Response:
        """Applies a complete file set."""
        team = request.match_info["team"]
        body = await read_body(request, ApplyRequest)
        files = [wire.FileEntry(item.name, item.text) for item in body.files]
        _check_team(team, files)
        if self._applier is None:
            raise api_error(503, "unavailable", _NO_STORE_MESSAGE)
        result = await self._applier.apply(
            files, body.expected_version, body.author
        )
        if result.is_error():
            raise _convert_error(result.error)
        applied = result.ok
        # Gossip can spread the version from this node before any node's watch
        # reports it.
        self._config.apply_if_newer(applied)
        return model_response(ApplyAnswer(team=team, version=applied.version))

    async def _history(self, team: str) -> tuple[list[HistoryEntry], str]:
        """Returns the history, and the reason if it cannot be read."""
        if self._applier is None:
            return [], _NO_STORE_MESSAGE
        read_result = await self._applier.history(team)
        if read_result.is_error():
            return [], str(read_result.error)
        entries = [
            HistoryEntry(
                version=entry.version,
                author=entry.author,
                applied_at_ms=entry.applied_at_ms,
            )
            for entry in read_result.ok
        ]
        return entries, ""


def find_file_set(
    sets_by_team: Mapping[str, AppliedFileSet], team: str
) -> AppliedFileSet:
    """Returns the file set of a team.

    Raises:
        ApiError: The team has no file set in force.
    """
    applied = sets_by_team.get(team)
    if applied is None:
        message = f"no file set of team {team!r} is in force at this node"
        raise api_error(404, "not-found", message)
    return applied


def _summary(applied: AppliedFileSet) -> FileSetSummary:
    return FileSetSummary(
        team=applied.team,
        version=applied.version,
        author=applied.message.author,
        applied_at_ms=applied.message.applied_at_ms,
        description=applied.sections.fileset.description,
    )


def _check_team(team: str, files: list[wire.FileEntry]) -> None:
    """Checks that a set is valid and belongs to the team in the path.

    Raises:
        ApiError: The set is invalid or belongs to another team.
    """
    compiled = compile_files(files)
    if compiled.is_error():
        raise _rejected_error(compiled.error)
    actual = compiled.ok.team
    if actual == team:
        return
    file = compiled.ok.sections.files_by_section["fileset"]
    reason = f"{actual!r} is not the team of the request, {team!r}"
    raise _rejected_error([Problem(file, "fileset", "team", reason)])


def _rejected_error(problems: list[Problem]) -> ApiError:
    items = [
        ProblemItem(
            file=problem.file,
            section=problem.section,
            key=problem.key,
            reason=problem.reason,
        )
        for problem in problems
    ]
    message = f"the file set has {len(items)} problems; nothing was applied"
    return api_error(422, "rejected", message, problems=items)


def _convert_error(error: ApplyError) -> ApiError:
    """Converts an error of the applier to an API error."""
    if isinstance(error, ApplyRejectedError):
        return _rejected_error(error.problems)
    if isinstance(error, ApplyConflictError):
        return api_error(
            409,
            "conflict",
            str(error),
            current_version=error.current_version,
            changes=[
                ChangeItem.from_change(change) for change in error.changes
            ],
        )
    if isinstance(error, ApplyUnavailableError):
        message = f"the store is unavailable and nothing was applied: {error}"
        return api_error(503, "unavailable", message)
    message = f"the set may or may not have been applied: {error}"
    return api_error(504, "outcome-unknown", message)
