"""Configuration in force at one node."""

import dataclasses
import functools
import logging
from collections.abc import Callable, Mapping

from celeryfield.internal import events
from celeryfield.internal.config.fileset import AppliedFileSet, Rule
from celeryfield.internal.config.versions import make_version
from celeryfield.internal.schema.fileset import ClassSection, ServiceSection

logger = logging.getLogger(__name__)

OnChange = Callable[[AppliedFileSet], None]


@dataclasses.dataclass(slots=True, frozen=True)
class NameConflict:
    """A name that the file sets of two teams define.

    Attributes:
        kind: Kind of the section, service or class.
        name: Name of the section.
        owner: Team whose section is in force.
        other_team: Team whose section is ignored.
    """

    kind: str
    name: str
    owner: str
    other_team: str

    def __str__(self) -> str:
        return (
            f"[{self.kind} {self.name}] of team {self.other_team!r} is not in "
            f"force: team {self.owner!r} has used the name for longer; "
            "rename one of the two"
        )


class ConfigManager:
    """Keeps the newest file set of each team and resolves name conflicts.

    The result depends only on the newest versions and not on the order in
    which they arrived, so that all nodes reach the same result.

    Attributes:
        conflicts: Names that more than one team defines.
        stored_versions_of_lost: Versions in the store of the teams whose set in
            force the store has lost; 0 if it has none of the team.
    """

    def __init__(self) -> None:
        self._sets_by_team: dict[str, AppliedFileSet] = {}
        self._owners_by_name: dict[tuple[str, str], AppliedFileSet] = {}
        self._callbacks: list[OnChange] = []
        self.conflicts: tuple[NameConflict, ...] = ()
        self.stored_versions_of_lost: dict[str, int] = {}

    @property
    def current_by_team(self) -> Mapping[str, AppliedFileSet]:
        """File sets in force."""
        return self._sets_by_team

    @property
    def versions_by_team(self) -> Mapping[str, int]:
        """Versions in force."""
        return {
            team: applied.version
            for team, applied in self._sets_by_team.items()
        }

    def subscribe(self, on_change: OnChange) -> None:
        """Registers a callback for each file set that comes into force."""
        self._callbacks.append(on_change)

    def apply_if_newer(self, candidate: AppliedFileSet) -> bool:
        """Applies a file set if its version is higher than that in force.

        Returns:
            Whether the candidate is now in force.
        """
        if not self._is_newer(candidate):
            return False
        self._sets_by_team[candidate.team] = candidate
        self.stored_versions_of_lost.pop(candidate.team, None)
        self._resolve_owners()
        logger.info(
            "file set in force",
            extra={"team": candidate.team, "version": candidate.version},
        )
        for callback in self._callbacks:
            self._notify(callback, candidate)
        return True

    def find_lost_sets(
        self, stored_versions: Mapping[str, int], generation: int
    ) -> None:
        """Finds sets in force that a restored store has lost.

        Args:
            stored_versions: Versions of all sets in the store, by team.
            generation: Generation of the store that was read. A set that was
                written in it may be newer than the reading, and is not lost.
        """
        oldest_version = make_version(generation, 0)
        lost = {}
        for team, version in self.versions_by_team.items():
            stored = stored_versions.get(team, 0)
            if not stored < version < oldest_version:
                continue
            lost[team] = stored
            if self.stored_versions_of_lost.get(team) != stored:
                events.emit(
                    events.FileSetLost,
                    team=team,
                    version=version,
                    stored=stored,
                )
        self.stored_versions_of_lost = lost

    def rule_for(self, service: str, method: str, path: str) -> Rule | None:
        """Returns the rule for a request, or none if it must be rejected."""
        owner = self._owners_by_name.get(("service", service))
        if owner is None:
            return None
        rule = owner.rule_for(service, method, path)
        return self._with_class_in_force(rule, owner) if rule else None

    def rules_for_service(self, service: str) -> list[Rule]:
        """Returns the rules for a service, the most specific route first."""
        owner = self._owners_by_name.get(("service", service))
        if owner is None:
            return []
        return [
            self._with_class_in_force(rule, owner)
            for rule in owner.rules_for_service(service)
        ]

    def owning_team(self, kind: str, name: str) -> str:
        """Returns the team that owns a section, or an empty string."""
        owner = self._owners_by_name.get((kind, name))
        return owner.team if owner else ""

    def service_names(self) -> list[str]:
        """Returns the sorted names of the services in force."""
        return sorted(
            name for kind, name in self._owners_by_name if kind == "service"
        )

    def service_section(self, name: str) -> ServiceSection | None:
        """Returns the section of a service, or none if it is not in force."""
        owner = self._owners_by_name.get(("service", name))
        return owner.sections.services_by_name[name] if owner else None

    def class_section(self, name: str) -> ClassSection | None:
        """Returns the section of a class, or none if it is not in force."""
        owner = self._owners_by_name.get(("class", name))
        return owner.sections.classes_by_name[name] if owner else None

    def has_workspace(self, workspace: str) -> bool:
        """Returns whether any file set defines the workspace."""
        return any(
            workspace in applied.sections.workspaces_by_name
            for applied in self._sets_by_team.values()
        )

    def workspace_weight(self, service: str, workspace: str) -> float:
        """Returns the weight of a workspace at a service; 1 if not set."""
        owner = self._owners_by_name.get(("service", service))
        section = owner and owner.sections.workspaces_by_name.get(workspace)
        return section.weight if section else 1.0

    def _with_class_in_force(self, rule: Rule, owner: AppliedFileSet) -> Rule:
        """Returns a rule with the class section of the team that owns it."""
        class_owner = self._owners_by_name[("class", rule.class_name)]
        if class_owner is owner:
            return rule
        return _replace_class(rule, class_owner)

    def _is_newer(self, candidate: AppliedFileSet) -> bool:
        """Returns whether a candidate is newer than the set in force."""
        current = self._sets_by_team.get(candidate.team)
        return candidate.version > (current.version if current else 0)

    def _resolve_owners(self) -> None:
        """Determines the owner of each name, and the conflicts."""
        claimants_by_name: dict[tuple[str, str], list[AppliedFileSet]] = {}
        for applied in self._sets_by_team.values():
            for name in applied.sections.claimed_names():
                claimants_by_name.setdefault(name, []).append(applied)
        owners_by_name = {}
        conflicts = []
        for (kind, name), claimants in claimants_by_name.items():
            if len(claimants) > 1:
                claimants.sort(key=functools.partial(_claim_order, kind, name))
            owner, *others = claimants
            owners_by_name[(kind, name)] = owner
            conflicts += [
                NameConflict(kind, name, owner.team, other.team)
                for other in others
            ]
        self._owners_by_name = owners_by_name
        self._update_conflicts(tuple(conflicts))

    def _update_conflicts(self, conflicts: tuple[NameConflict, ...]) -> None:
        """Stores the conflicts and logs those that are new."""
        previous_conflicts = set(self.conflicts)
        for conflict in conflicts:
            if conflict not in previous_conflicts:
                logger.warning("two teams define the same name: %s", conflict)
        self.conflicts = conflicts

    def _notify(self, callback: OnChange, applied: AppliedFileSet) -> None:
        """Calls one subscriber; a failure must not affect the others."""
        try:
            callback(applied)
        except Exception:
            logger.exception("a subscriber failed to handle a new file set")


def _claim_order(
    kind: str, name: str, applied: AppliedFileSet
) -> tuple[int, str]:
    """Sort key that puts the owner of a name before other claimants."""
    return applied.since_version(kind, name), applied.team


def _replace_class(rule: Rule, class_owner: AppliedFileSet) -> Rule:
    """Returns a rule with the class section of another team.

    If the rule's own team declared the class run-once, it stays run-once,
    because a name conflict must never lead to a second run.
    """
    section: ClassSection = class_owner.sections.classes_by_name[
        rule.class_name
    ]
    if rule.class_settings.run_once:
        section = section.model_copy(
            update={"run_once": True, "repeatable": False, "hedge": False}
        )
    longest_ms = rule.service_settings.timeout_ms
    timeout_ms = min(section.timeout_ms or longest_ms, longest_ms)
    return dataclasses.replace(
        rule, class_settings=section, timeout_ms=timeout_ms
    )
