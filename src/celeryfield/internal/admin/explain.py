"""Explains to operators which rule applies to a request, and why."""

from collections.abc import Mapping, Sequence

from aiohttp import web

from celeryfield.internal.admin.models import ExplainAnswer, ExplainQuery
from celeryfield.internal.admin.replies import (
    api_error,
    model_response,
    read_query,
)
from celeryfield.internal.calls import RANKS_PER_PRIORITY, Candidate
from celeryfield.internal.config.fileset import Rule
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.directory import Directory
from celeryfield.internal.inifile import suggest_name
from celeryfield.internal.routing.levels import LevelTable


class ExplainHandler:
    """Handles ``GET /v1/explain``.

    Args:
        config: File sets in force.
        levels: Admission levels that other nodes reported.
        directory: Known upstreams.
    """

    def __init__(
        self, config: ConfigManager, levels: LevelTable, directory: Directory
    ) -> None:
        self._config = config
        self._levels = levels
        self._directory = directory

    async def serve(self, request: web.Request) -> web.Response:
        """Explains the rule for a class, or for a method and path.

        Raises:
            ApiError: The query is invalid, or no rule applies.
        """
        query = read_query(request, ExplainQuery)
        if bool(query.class_name) == bool(query.path):
            message = "specify service and either class or path (with method)"
            raise api_error(400, "invalid", message)
        return model_response(self.explain(query))

    def explain(self, query: ExplainQuery) -> ExplainAnswer:
        """Returns the explanation for a query.

        Raises:
            ApiError: No rule applies.
        """
        if self._config.service_section(query.service) is None:
            hint = suggest_name(query.service, self._config.service_names())
            message = f"service {query.service!r} is not in force; {hint}"
            raise api_error(404, "not-found", message)
        if query.class_name:
            return self._explain_class(query)
        rule = self._config.rule_for(query.service, query.method, query.path)
        if rule is None:
            message = (
                f"no route of service {query.service!r} matches {query.method} "
                f"{query.path} and there is no default_class, so the request "
                "is rejected with status 404"
            )
            raise api_error(404, "not-found", message)
        return self._build_answer([rule])

    def _explain_class(self, query: ExplainQuery) -> ExplainAnswer:
        rules = self._config.rules_for_service(query.service)
        matching = [
            rule for rule in rules if rule.class_name == query.class_name
        ]
        if not matching:
            hint = suggest_name(
                query.class_name, {rule.class_name for rule in rules}
            )
            message = (
                f"no route of service {query.service!r} selects class "
                f"{query.class_name!r}; {hint}"
            )
            raise api_error(404, "not-found", message)
        return self._build_answer(matching)

    def _build_answer(self, rules: Sequence[Rule]) -> ExplainAnswer:
        rule = rules[0]
        section = rule.class_settings
        level = self._levels.required_level(rule.service, rule.class_name)
        # A class counts as shed only if the level is above all ranks of its
        # priority; a level within these ranks sheds only some of its calls.
        is_shed = level > (section.priority + 1) * RANKS_PER_PRIORITY - 1
        ready = _count_ready_upstreams(
            self._directory.candidates_by_service, rule.service
        )
        answer = ExplainAnswer(
            service=rule.service,
            class_name=rule.class_name,
            routes=[
                matched_rule.route_name
                for matched_rule in rules
                if matched_rule.route_name
            ],
            priority=section.priority,
            team=self._config.owning_team("service", rule.service),
            class_team=self._config.owning_team("class", rule.class_name),
            retry_allowance=section.retry_allowance,
            timeout_ms=rule.timeout_ms,
            run_once=section.run_once,
            repeatable=section.repeatable and not section.run_once,
            hedge=section.hedge,
            long_running=section.long_running,
            lowest_priority=level / RANKS_PER_PRIORITY,
            is_shed=is_shed,
            candidates=ready,
            reasons=[],
        )
        answer.reasons = _reasons(answer, rules)
        return answer


def _count_ready_upstreams(
    candidates_by_service: Mapping[str, list[Candidate]], service: str
) -> int:
    return sum(
        candidate.state == "ready"
        for candidate in candidates_by_service.get(service, ())
    )


def _reasons(answer: ExplainAnswer, rules: Sequence[Rule]) -> list[str]:
    """Returns the explanation as sentences."""
    return [
        _class_reason(answer, rules),
        f"team {answer.team!r} owns the service and team "
        f"{answer.class_team!r} the class",
        _timeout_reason(answer, rules[0]),
        _repeat_reason(answer),
        _level_reason(answer),
        f"number of ready upstreams of the service: {answer.candidates}",
    ]


def _class_reason(answer: ExplainAnswer, rules: Sequence[Rule]) -> str:
    parts = [f"[route {name}]" for name in answer.routes]
    if any(not rule.route_name for rule in rules):
        parts.append(f"default_class of [service {answer.service}]")
    return f"class {answer.class_name} is selected by {', '.join(parts)}"


def _timeout_reason(answer: ExplainAnswer, rule: Rule) -> str:
    timeout = f"timeout is {answer.timeout_ms:g} ms, set by"
    if rule.class_settings.timeout_ms == answer.timeout_ms:
        return f"{timeout} [class {answer.class_name}]"
    return f"{timeout} [service {answer.service}]"


def _repeat_reason(answer: ExplainAnswer) -> str:
    allowance = f"the call chain has {answer.retry_allowance} extra attempts"
    if answer.run_once:
        return f"{allowance}, used only after attempts that did not run"
    if not answer.repeatable:
        return f"{allowance}, used only before the request has started"
    return f"{allowance}, also after a request has started"


def _level_reason(answer: ExplainAnswer) -> str:
    if answer.lowest_priority == 0:
        return f"priority {answer.priority} is admitted; nothing is shed"
    verb = "is shed" if answer.is_shed else "is admitted"
    return (
        f"priority {answer.priority} {verb}; priorities below "
        f"{answer.lowest_priority:.2f} are currently shed"
    )
