"""Takes requests out of the rate limits of their workspaces."""

import asyncio
import collections
import random
import weakref
from collections.abc import Callable

import mode

from celeryfield.internal import events, supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.limits.asker import Ask, Asker, Lease, SilentOwners
from celeryfield.internal.limits.eligible import EligibleNodes
from celeryfield.internal.limits.owner import TAKEOVER_MS, LeaseOwner
from celeryfield.internal.limits.ownership import SliceOwners
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.routes.caller_gate import GRANTED, RateDecision
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.table import RouteTable
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool

# A request waits this long for a token, so that a third owner can be asked
# after two silent ones.
MAX_WAIT_MS = 150.0
# Time limit of one question. Owners answer within a few ms; a loaded one takes
# longer.
ANSWER_TIMEOUT_MS = 70.0
CHECK_INTERVAL_MS = 500.0
# Age at which a process owns its slices for certain: it started, stored its
# record and waited for the time of a takeover.
MIN_OWNER_AGE_MS = TAKEOVER_MS + 2_000.0

_NO_ANSWER = "no answer in time"


class _Waiters:
    """Requests of one workspace that wait for tokens.

    Attributes:
        futures: Requests, in the order of their arrival.
        task: Asks for tokens; None if nothing is asked.
    """

    def __init__(self) -> None:
        self.futures: collections.deque[asyncio.Future[Lease | None]] = (
            collections.deque()
        )
        self.task: asyncio.Task[None] | None = None

    def count(self) -> int:
        """Returns the number of requests that still wait."""
        self.futures = collections.deque(
            future for future in self.futures if not future.done()
        )
        return len(self.futures)


class RateLimiter(mode.Service):
    """Grants requests within the limits and answers other nodes.

    Args:
        own_id: Id of this node.
        clock: Time source.
        routes: Holds the configuration in force.
        catalog: Records of all nodes.
        pool: Connections to other nodes.
        contact_age_ms: Returns the age of the last proof of contact with the
            store, in ms; infinite without one.
        rng: Spreads the first questions and the delays of callers.

    Attributes:
        owner: Grants leases of the slices that this node owns.
        taken_by_label: Number of requests by workspace and by what let them
            run: ``lease`` or ``allowance``.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        routes: RouteManager,
        catalog: Catalog,
        pool: PeerPool,
        contact_age_ms: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._own_id = own_id
        self._clock = clock
        self._catalog = catalog
        self._pool = pool
        self._routes = routes
        self._rng = rng or random.Random()
        self._owners = SliceOwners(own_id)
        self._eligible = EligibleNodes()
        self._silent = SilentOwners()
        self._askers_by_name: dict[str, Asker] = {}
        self._waiters_by_name: dict[str, _Waiters] = {}
        self._has_resumed = False
        # A task serves one request at a time, so it identifies the request
        # that gives its token back.
        self._leases_by_task: weakref.WeakKeyDictionary[
            asyncio.Task[object], Lease
        ] = weakref.WeakKeyDictionary()
        self.owner = LeaseOwner(clock, self._owners, contact_age_ms)
        self.taken_by_label: dict[tuple[str, str], int] = {}
        routes.subscribe(self._on_routes)
        catalog.subscribe(self._update_owners)

    @property
    def unreachable_owners(self) -> int:
        """Number of owners that did not answer recently."""
        return self._silent.count(self._clock.boot_ms())

    async def take(self, workspace: Workspace) -> RateDecision:
        """Takes a request out of the limit of a workspace."""
        self._leases_by_task.pop(asyncio.current_task(), None)
        asker = self._askers_by_name.get(workspace.name)
        if asker is None:
            return GRANTED
        # Leases end while a VM is suspended, too.
        now_ms = self._clock.boot_ms()
        asker.record_demand(now_ms)
        lease = asker.spend(now_ms)
        if lease is None:
            lease = await self._wait_for_lease(asker)
        elif asker.needs_more(now_ms):
            self._start_asking(asker)
        now_ms = self._clock.boot_ms()
        if lease is not None:
            self._leases_by_task[asyncio.current_task()] = lease
            self._count(workspace, "lease")
            return GRANTED
        if asker.spend_allowance(now_ms):
            self._count(workspace, "allowance")
            return GRANTED
        return RateDecision(False, asker.retry_after_ms(now_ms) / 1000.0)

    def give_back(self, workspace: Workspace) -> None:
        """Gives back the token of the request that this task serves."""
        lease = self._leases_by_task.pop(asyncio.current_task(), None)
        asker = self._askers_by_name.get(workspace.name)
        if lease is not None and asker is not None:
            asker.give_back(lease)

    async def answer(self, frame: Frame) -> tuple[Kind, bytes]:
        """Answers a lease request of another node."""
        try:
            request = wire.LeaseRequest.decode(frame.header)
        except MessageError:
            request = wire.LeaseRequest()
        return Kind.LEASE_RESULT, self.owner.answer(request).encode()

    async def _wait_for_lease(self, asker: Asker) -> Lease | None:
        waiters = self._waiters_by_name.setdefault(
            asker.workspace.name, _Waiters()
        )
        future = asyncio.get_running_loop().create_future()
        waiters.futures.append(future)
        self._start_asking(asker)
        try:
            async with asyncio.timeout(MAX_WAIT_MS / 1000.0):
                return await future
        except TimeoutError:
            return _result(future)
        except asyncio.CancelledError:
            lease = _result(future)
            if lease is not None:
                asker.give_back(lease)
            raise

    def _start_asking(self, asker: Asker) -> None:
        waiters = self._waiters_by_name.setdefault(
            asker.workspace.name, _Waiters()
        )
        if waiters.task is None:
            waiters.task = asyncio.ensure_future(self._ask_all(asker, waiters))

    async def _ask_all(self, asker: Asker, waiters: _Waiters) -> None:
        """Asks owners until no request waits or no owner is left to ask."""
        try:
            while True:
                now_ms = self._clock.boot_ms()
                ask = asker.next_ask(now_ms, waiters.count())
                if ask is None:
                    return
                await self._ask(asker, ask)
                self._serve_waiters(asker, waiters)
                if not waiters.count():
                    return
        finally:
            waiters.task = None
            for future in waiters.futures:
                if not future.done():
                    future.set_result(None)
            waiters.futures.clear()

    def _serve_waiters(self, asker: Asker, waiters: _Waiters) -> None:
        futures = waiters.futures
        while futures:
            if futures[0].done():
                futures.popleft()
                continue
            lease = asker.spend(self._clock.boot_ms())
            if lease is None:
                return
            futures.popleft().set_result(lease)

    async def _ask(self, asker: Asker, ask: Ask) -> None:
        """Asks one owner and records its answer."""
        request = wire.LeaseRequest(
            (wire.LeaseWant(ask.key.workspace, ask.key.index, ask.tokens),),
            self._routes.current.version,
            self.owner.check_contact(),
        )
        if ask.owner_id == self._own_id:
            (grant,) = self.owner.answer(request).grants
            asker.record_grant(ask, grant, self._clock.boot_ms())
            return
        record = self._catalog.records_by_id.get(ask.owner_id)
        try:
            if record is None:
                raise TransportError("the node has no record")
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000.0):
                frame = await self._pool.request(
                    record.node_candidate(), Kind.LEASE, request.encode()
                )
            (grant,) = wire.LeaseReply.decode(frame.payload).grants
        except (TransportError, TimeoutError, MessageError, ValueError) as e:
            asker.record_silence(ask, self._clock.boot_ms())
            events.emit(
                events.LeaseOwnerSilent,
                peer=ask.owner_id,
                workspace=ask.key.workspace,
                problem=str(e) or _NO_ANSWER,
            )
            return
        asker.record_grant(ask, grant, self._clock.boot_ms())

    def _count(self, workspace: Workspace, source: str) -> None:
        label = (workspace.name, source)
        self.taken_by_label[label] = self.taken_by_label.get(label, 0) + 1

    def _on_routes(self, table: RouteTable) -> None:
        """Applies limits; drops the state of workspaces without one."""
        limited = {
            workspace.name: workspace
            for workspace in table.workspaces.by_name.values()
            if workspace.is_limited
        }
        self.owner.set_workspaces(limited.values())
        self._owners.set_workspaces(limited)
        for name in self._askers_by_name.keys() - limited.keys():
            del self._askers_by_name[name]
            self._waiters_by_name.pop(name, None)
        for label in list(self.taken_by_label):
            if label[0] not in limited:
                del self.taken_by_label[label]
        for name, workspace in limited.items():
            asker = self._askers_by_name.get(name)
            if asker is not None:
                asker.workspace = workspace
                continue
            self._askers_by_name[name] = Asker(
                workspace, self._owners, self._silent, self._rng
            )

    def _update_owners(self) -> None:
        """Updates the owners of the slices."""
        now_ms = self._clock.now_ms()
        predecessor = self._catalog.predecessor
        resumes = not self._has_resumed and predecessor is not None
        if resumes:
            self._has_resumed = True
            resumes = self._was_owner(predecessor)
        zones_by_id = self._eligible.select(
            self._catalog.records_by_id.values(), now_ms
        )
        self._owners.set_nodes(zones_by_id, now_ms, resumes)

    def _was_owner(self, predecessor: NodeRecord) -> bool:
        """Returns whether the last process owned the slices of this node.

        It had to know them for longer than a takeover, and to count as an owner
        until it ended.
        """
        age_ms = self._clock.wall_ms() - predecessor.incarnation
        return age_ms > MIN_OWNER_AGE_MS and not predecessor.is_draining

    @mode.Service.task
    async def _run(self) -> None:
        await supervision.repeat_step(self, self._clock, self._check)

    async def _check(self) -> None:
        await self._clock.sleep_ms(CHECK_INTERVAL_MS)
        # Called even while no workspace has a limit: a long gap between two
        # checks is taken for a suspension of the process.
        self.owner.check_contact()
        if self._askers_by_name:
            self._silent.forget_old(self._clock.boot_ms())
            self._update_owners()


def _result(future: asyncio.Future[Lease | None]) -> Lease | None:
    """Returns the lease of a request that stopped waiting, if it got one."""
    if future.cancelled() or not future.done():
        return None
    return future.result()
