"""Status of one node as JSON."""

import dataclasses
from typing import TYPE_CHECKING, Any

import celeryfield

if TYPE_CHECKING:
    from celeryfield.internal.node import Node


def node_status(node: "Node") -> dict[str, Any]:
    """Returns what operators see of a node and of its view of the fleet."""
    load = node.admission.load_report()
    return {
        "version": celeryfield.__version__,
        "node": node.settings.node.id,
        "zone": node.settings.node.zone,
        "ready": node.is_ready,
        "leaving": node.is_leaving,
        "configuration": dict(node.config.versions_by_team),
        "conflicts": [str(conflict) for conflict in node.config.conflicts],
        "local": {
            "state": load.state,
            "in_flight": load.in_flight,
            "queued": load.queued,
            "limit": load.limit,
            "levels": {entry.service: entry.level for entry in load.levels},
        },
        "callers_in_flight": node.frontend.in_flight,
        "classes": {
            name: dataclasses.asdict(totals)
            for name, totals in node.metrics.totals_by_class.items()
        },
        "executor": dataclasses.asdict(node.executor.counters),
        "members": _members(node),
        "upstreams": _upstreams(node),
    }


def _members(node: "Node") -> list[dict[str, Any]]:
    return [
        {
            "node": member.id,
            "incarnation": member.incarnation,
            "state": str(member.state),
            "zone": member.zone,
            "region": member.region,
        }
        for member in node.membership.members_by_id.values()
    ]


def _upstreams(node: "Node") -> list[dict[str, Any]]:
    return [
        {
            "service": service,
            "node": candidate.node_id,
            "zone": candidate.zone,
            "state": candidate.state,
            "slots": candidate.slots,
        }
        for service, candidates in sorted(
            node.directory.candidates_by_service.items()
        )
        for candidate in candidates
    ]
