"""Checks whether the caller of a request may use a route.

The node that receives a request decides alone, by the configuration in force:
first the key, then whether the configuration may be outdated, then the rate
limit of the workspace. Configurations without workspaces ask for none of it.
"""

import dataclasses
from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from celeryfield.internal import events
from celeryfield.internal.calls import Reason
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.table import Route, RouteTable
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.routing.chains import ChainTable

# Proves that the configuration in force is recent enough to accept keys.
HasFreshKeys = Callable[[], bool]


@dataclasses.dataclass(slots=True, frozen=True)
class RateDecision:
    """Whether a request fits the rate limit of its workspace.

    Attributes:
        is_granted: Whether it does.
        retry_after_s: Delay after which it may, in seconds; 0 if granted.
    """

    is_granted: bool = True
    retry_after_s: float = 0.0


GRANTED = RateDecision()
# Takes one request out of the rate limit of a workspace.
TakeRate = Callable[[Workspace], Awaitable[RateDecision]]
# Gives back one request that did not run.
ReturnRate = Callable[[Workspace], None]


@dataclasses.dataclass(slots=True, frozen=True)
class CallerClaim:
    """What a request shows about its caller.

    Attributes:
        request_id: Id that the caller gave the request.
        parent_id: Id of the request during whose execution this one was sent;
            empty if unknown.
        key: The key; None if the request has none, or several.
    """

    request_id: str
    parent_id: str
    key: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """Why a request is refused before it becomes a call.

    Attributes:
        reason: Reason.UNAUTHORIZED, CONFIG_OUTDATED or RATE_LIMITED.
        retry_after_s: Delay after which it may be accepted, in seconds; 0 if
            unknown.
    """

    reason: Reason
    retry_after_s: float = 0.0


async def grant_rate(_workspace: Workspace) -> RateDecision:
    """Grants each request; used without rate limits."""
    return GRANTED


def keep_rate(_workspace: Workspace) -> None:
    """Gives nothing back; used without rate limits."""


class CallerGate:
    """Accepts or refuses callers.

    Args:
        routes: Holds the active route table.
        chains: Chains of the calls that run on the local upstream.
        has_fresh_keys: Returns whether keys may be accepted now.
        take_rate: Takes a request out of the rate limit of a workspace.
        return_rate: Gives back a request that did not run.

    Attributes:
        refusals_by_label: Number of refused requests by workspace and reason.
            The workspace is empty if the key is unknown.
    """

    def __init__(
        self,
        routes: RouteManager,
        chains: ChainTable,
        has_fresh_keys: HasFreshKeys = lambda: True,
        take_rate: TakeRate = grant_rate,
        return_rate: ReturnRate = keep_rate,
    ) -> None:
        self._routes = routes
        self._chains = chains
        self._has_fresh_keys = has_fresh_keys
        self._take_rate = take_rate
        self._return_rate = return_rate
        self.refusals_by_label: dict[tuple[str, str], int] = {}
        routes.subscribe(self._forget_removed)

    def needs_key(self, route: Route) -> bool:
        """Returns whether callers of a route have to show a key."""
        return bool(self._routes.current.workspaces) and not route.is_public

    async def check(
        self, route: Route, claim: CallerClaim
    ) -> Result[Workspace | None, Refusal]:
        """Returns the workspace of a caller, or why it is refused.

        A request that is accepted counts against the rate limit of its
        workspace until ``give_back`` is called for it.

        Returns:
            The workspace; None if the request needs no key.
        """
        if not self.needs_key(route):
            return Ok(None)
        if claim.key is None:
            if self._is_sub_call(claim):
                return Ok(None)
            return self._refuse(claim, "", Refusal(Reason.UNAUTHORIZED))
        found = self._find(claim)
        if found.is_error() or not found.ok.is_limited:
            return found
        workspace = found.ok
        decision = await self._take_rate(workspace)
        if not decision.is_granted:
            refusal = Refusal(Reason.RATE_LIMITED, decision.retry_after_s)
            return self._refuse(claim, workspace.name, refusal)
        checked = self.check_again(claim, workspace)
        if checked.is_error():
            self.give_back(workspace)
        return checked

    def check_again(
        self, claim: CallerClaim | None, workspace: Workspace | None
    ) -> Result[Workspace | None, Refusal]:
        """Checks the key of an accepted request that had to wait.

        A key may be revoked meanwhile.

        Args:
            claim: What the request shows about its caller; None if it needs no
                key.
            workspace: Workspace for which it was accepted; None if it needs no
                key.
        """
        if workspace is None or not self._routes.current.workspaces:
            return Ok(workspace)
        return self._find(claim).map(lambda _found: workspace)

    def _find(self, claim: CallerClaim) -> Result[Workspace, Refusal]:
        """Returns the workspace that holds a key now, or the refusal."""
        workspace = self._routes.current.workspaces.find(claim.key)
        name = workspace.name if workspace else ""
        if not self._has_fresh_keys():
            # A newer configuration may hold an unknown key, too.
            return self._refuse(claim, name, Refusal(Reason.CONFIG_OUTDATED))
        if workspace is None:
            return self._refuse(claim, "", Refusal(Reason.UNAUTHORIZED))
        return Ok(workspace)

    def give_back(self, workspace: Workspace | None) -> None:
        """Takes a request that did not run off its workspace's rate limit."""
        if workspace is not None and workspace.is_limited:
            self._return_rate(workspace)

    def _is_sub_call(self, claim: CallerClaim) -> bool:
        """Returns whether an accepted request of a workspace sent this one.

        Callers choose ids, so a parent that needed no key proves nothing.
        """
        chain = self._chains.find_request(claim.parent_id)
        return chain is not None and bool(chain.call.workspace)

    def _refuse(
        self, claim: CallerClaim, name: str, refusal: Refusal
    ) -> Result[Workspace | None, Refusal]:
        label = (name, str(refusal.reason))
        count = self.refusals_by_label.get(label, 0)
        self.refusals_by_label[label] = count + 1
        if events.should_log(
            events.CallerRefused, str(refusal.reason), claim.request_id
        ):
            event = events.CallerRefused(
                request=claim.request_id,
                workspace=name,
                reason=str(refusal.reason),
                retry_after_s=refusal.retry_after_s,
                config_version=self._routes.current.version,
            )
            events.write(event)
        return Error(refusal)

    def _forget_removed(self, table: RouteTable) -> None:
        """Drops the counts of workspaces that the configuration removed."""
        known = table.workspaces.by_name.keys() | {""}
        for label in list(self.refusals_by_label):
            if label[0] not in known:
                del self.refusals_by_label[label]
