"""Gets each request a decision: from the pool's scheduler, or from this router.

One router decides for each pool. A request is offered to it in a datagram, again and
again until it answers. One that does not answer in time, because it is cut off,
frozen or dead, is replaced by the next in line, and later if it is heard and so is late
only. Where that one does not answer either the scheduler of this router decides, which
then fills only its part of each endpoint.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.coordination.scheduling.division import (
    Division,
    choose,
    choose_further,
)
from carawayfold.coordination.scheduling.endpoint_load import Active
from carawayfold.coordination.scheduling.held_back import HeldBack
from carawayfold.coordination.scheduling.messages import (
    decision_message,
    granted_of,
    offer_message,
    offer_of,
    turned_away_of,
)
from carawayfold.coordination.scheduling.offers import (
    UNKNOWN_POOL,
    Bar,
    Basis,
    Granted,
    Offer,
    Outcome,
    TurnedAway,
)
from carawayfold.coordination.scheduling.scheduler import (
    UNSTATED_SPEED,
    PoolPlan,
    Scheduler,
)
from carawayfold.coordination.scheduling.tallies import Tallies
from carawayfold.coordination.scheduling.tickets import Placed, PoolDesk, Ticket
from carawayfold.protocol.datagrams import (
    BegunMessage,
    EndedMessage,
    GrantMessage,
    Held,
    HoldingMessage,
    OfferMessage,
    TurnAwayMessage,
    WaitMessage,
    WithdrawMessage,
)
from carawayfold.protocol.exchanges import Part
from carawayfold.state.ids import (
    CallId,
    EndpointId,
    EndpointName,
    PoolId,
    RouterId,
    ServiceId,
)
from carawayfold.state.rests import Rests

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.scheduling.offers import Decision
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.state.endpoints import Endpoint, EndpointTable
    from carawayfold.state.ids import DataCentreId
    from carawayfold.state.routes import RouteTable

logger = logbook.Logger(__name__)

#: Seconds between offers of a request to a scheduler that has not answered; a round
#: trip between data centres takes under 3 ms, and a busy router some 10 ms more. Ever
#: longer, so that a router which is late gets no more to do for being late.
OFFER_WAITS = (0.025, 0.025, 0.05, 0.1, 0.2)
#: Offers without an answer after which the next in line decides, if the router was not
#: heard either since the first one.
OFFERS_MOST = 3
#: The same for one that is heard, and so is late rather than dead.
LATE_OFFERS_MOST = len(OFFER_WAITS)
#: Seconds between words to the scheduler that a request still waits. More often,
#: and a queue of 300 fills the scheduler's time with words about itself; heartbeats
#: tell sooner that the scheduler is gone.
WAITING_AGAIN = 0.4
#: Such words without an answer after which the next in line decides, if the router is
#: silent, and if it is heard.
WAITING_MOST = 1
LATE_WAITING_MOST = 3
#: Seconds between lists of what this router has at the endpoints.
HOLDING_INTERVAL = 0.25
#: Requests in one such list, so that it fits a datagram.
HELD_IN_ONE = 20
#: Decisions remembered for offers that come again.
DECIDED_KEPT = 2000
#: Seconds for which events are gathered before decisions on them.
DECIDE_DELAY = 0.001
#: Seconds between two rounds of decisions on requests that wait, without an event.
DECIDE_INTERVAL = 0.03
#: Seconds left for other work for each second that a round of decisions took: a router
#: that has much to decide still takes the words of others in time.
ROUND_PAUSE = 3.0
#: Seconds by which a round of decisions comes late, or the next one is put off, from
#: which routers are told to hold requests back, and for how long after it.
LATE_ROUND = 0.03
HURRIED_FOR = 0.5
#: Seconds between log lines on one router that does not decide.
UNANSWERED_LOGGED = 1.0
#: Further pools that are asked for a request which its own one can't serve in time.
#: Without them an organisation whose requests share a prefix gets its part of one pool
#: only, however much the others can do.
FURTHER_POOLS = 1
#: Seconds after which requests may come back to a pool that its decider doesn't have:
#: both have learnt of the same endpoints by then.
UNKNOWN_POOL_RETRY = 1.0
#: Prefixes of which this router remembers where it sent them.
PREFIXES_KEPT = 4000


class Desk:
    """Offers this router's requests and decides on those of its pools.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    window : float
        Seconds over which an organisation's share is counted.
    basis : callable, optional
        Returns what this router knows of the endpoints now.
    """

    def __init__(
        self, fleet: Fleet, window: float, basis: Callable[[], Basis] | None = None
    ) -> None:
        self.fleet = fleet
        self.window = window
        self.basis = basis or (lambda: Basis(fleet.own.router))
        self.loop = asyncio.get_running_loop()
        self.pools: dict[PoolId, PoolDesk] = {}
        self.divisions: dict[ServiceId, Division] = {}
        #: Slots of each pool, by service.
        self.weights: dict[ServiceId, dict[PoolId, int]] = {}
        self.tickets: dict[CallId, Ticket] = {}
        self.placed: dict[CallId, Placed] = {}
        self.decided: OrderedDict[CallId, Decision] = OrderedDict()
        self.endpoints: dict[EndpointId, Endpoint] = {}
        #: Newest incarnation of each endpoint by its name.
        self.newest: dict[EndpointName, Endpoint] = {}
        #: Data centres whose endpoints get nothing.
        self.evacuated: frozenset[DataCentreId] = frozenset()
        #: When this router learnt of each endpoint that it leaves.
        self.leaving_since: dict[EndpointName, float] = {}
        #: Endpoints that want nothing from this router for a while.
        self.rests = Rests()
        self.sent_prefixes: OrderedDict[str, EndpointId] = OrderedDict()
        self.numbers = 0
        #: When it was last logged that a router does not decide.
        self.unanswered: dict[RouterId, float] = {}
        self.tallies = Tallies()
        self.held_back = HeldBack()
        #: When the next round of decisions may begin, for whichever pool.
        self.next_round = 0.0
        #: Until when deciding counts as what takes too much of this router's time.
        self.hurried_until = 0.0

    # Pools

    def refresh(
        self,
        table: EndpointTable,
        routes: RouteTable,
        evacuated: Collection[DataCentreId] = (),
    ) -> list[Endpoint]:
        """Divide the endpoints of each service into pools.

        Those of evacuated data centres stay in their pools, so that the others keep
        theirs, and get nothing.

        Returns
        -------
        list of Endpoint
            Those known before that are gone, or whose incarnation is over.
        """
        before = self.endpoints
        weights_before = self.weights
        self.newest = dict(table.entries)
        self.leaving_since = dict(table.leaving_since)
        self.endpoints = {endpoint.id: endpoint for endpoint in self.newest.values()}
        self.evacuated = frozenset(evacuated)
        pools: dict[PoolId, PoolDesk] = {}
        pool_of: dict[EndpointId, PoolId] = {}
        self.weights = {}
        engines = self._count_engines(routes)
        for service in routes.services:
            weights = self.weights[service] = {}
            usable = table.usable(service)
            division = self.divisions.setdefault(service, Division())
            for number, divided in enumerate(division.divide(usable)):
                members = [item for item in divided if not self.is_evacuated(item)]
                pool = PoolId(f"{service}/{number}")
                desk = self.pools.get(pool) or PoolDesk(pool, Scheduler(self.window))
                plan = self._plan(service, routes, len(members), engines)
                desk.scheduler.set_endpoints(members, plan)
                pools[pool] = desk
                pool_of.update((item.id, pool) for item in divided)
                if members:
                    weights[pool] = sum(item.slots for item in members)
        self.pools = pools
        self._note_division(weights_before)
        self._leave_pools()
        for placed in self.placed.values():
            placed.pool = pool_of.get(placed.endpoint, placed.pool)
        for desk in pools.values():
            self._decide_soon(desk)
        self.rests.expire(self.endpoints, self.loop.time())
        return [before[name] for name in before.keys() - self.endpoints.keys()]

    def _note_division(self, before: dict[ServiceId, dict[PoolId, int]]) -> None:
        """Log services whose number of pools has changed."""
        for service, weights in self.weights.items():
            pools_before = len(before.get(service, {}))
            if pools_before == len(weights):
                continue
            loads = [self.pools[pool].scheduler.loads for pool in weights]
            extra = {
                "service": service,
                "before": pools_before,
                "pools": len(weights),
                "endpoints": sum(len(item) for item in loads),
                "leaders": {pool: self.fleet.leader(pool) for pool in weights},
            }
            logger.info("pools changed", extra=extra)

    def _leave_pools(self) -> None:
        """Let requests that wait in a pool that is no more go to another one."""
        for ticket in list(self.tickets.values()):
            service = ServiceId(ticket.pool.rsplit("/", 1)[0])
            if ticket.pool in self.pools or not self.weights.get(service):
                continue
            if not ticket.answered.done():
                # Its leader may still have the pool, and would keep a place for it.
                self._withdraw(ticket)
                ticket.answered.set_result(_unknown_pool(ticket.offer.call))

    def is_over(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has started again since."""
        newest = self.newest.get(endpoint.name)
        return newest is not None and newest.incarnation > endpoint.incarnation

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in an evacuated data centre."""
        return endpoint.data_centre in self.evacuated

    def gets_nothing(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint leaves, or its data centre is evacuated."""
        return endpoint.leaving or self.is_evacuated(endpoint)

    def find_bar(self, endpoint: Endpoint, granted: Granted) -> Bar | None:
        """Return why a request must not go where it was granted, None if it may.

        The router that decides may be cut off from the store, so each router also goes
        by what it has been told itself before it sends.
        """
        if endpoint.leaving:
            return Bar.LEAVING
        if self.is_evacuated(endpoint):
            return Bar.EVACUATED
        if self.rests.opens_at(endpoint.id, self.loop.time()):
            return Bar.RESTING
        decider_knows = granted.basis.offset >= self.basis().offset
        if endpoint.is_warming(self.loop.time()) and not decider_knows:
            return Bar.WARMING
        return None

    def rests_in(self, pool: PoolId) -> dict[EndpointId, float]:
        """Return when each endpoint of a pool opens that rests from this router."""
        desk = self.pools.get(pool)
        if desk is None or not self.rests.entries:
            return {}
        now = self.loop.time()
        opens = {
            endpoint: self.rests.opens_at(endpoint, now)
            for endpoint in desk.scheduler.loads
        }
        return {endpoint: at for endpoint, at in opens.items() if at}

    def _count_engines(self, routes: RouteTable) -> int:
        """Return how many endpoints there are of all services of model engines."""
        models = {item.id for item in routes.services.values() if item.is_model}
        return sum(item.service in models for item in self.endpoints.values())

    def _plan(
        self, service: ServiceId, routes: RouteTable, members: int, engines: int
    ) -> PoolPlan:
        config = routes.services[service]
        if not config.is_model:
            return PoolPlan(warm_up_rate=config.warm_up_rate)
        throughput = routes.throughput * members / max(1, engines)
        speed = routes.throughput / max(1, engines) or UNSTATED_SPEED
        return PoolPlan(
            throughput, config.memory_tokens, speed, warm_up_rate=config.warm_up_rate
        )

    def decides_for(self, pool: PoolId) -> bool:
        """Return whether this router decides for a pool."""
        return self.fleet.leader(pool) == self.fleet.own.router

    def weights_for(
        self, service: ServiceId, allowed: Collection[DataCentreId] | None
    ) -> dict[PoolId, int]:
        """Return what each pool can do for requests kept to some data centres.

        Pools that can do nothing are left out.
        """
        weights = self.weights.get(service, {})
        if allowed is None:
            return weights
        able = {}
        for pool in weights:
            loads = self.pools[pool].scheduler.loads.values()
            places = [load.endpoint for load in loads]
            able[pool] = sum(
                item.slots for item in places if item.data_centre in allowed
            )
        return {pool: slots for pool, slots in able.items() if slots}

    def pool_for(
        self,
        service: ServiceId,
        prompt: tuple[Part, ...],
        allowed: Collection[DataCentreId] | None = None,
    ) -> PoolId:
        """Return the pool of `service` that requests with this prefix go to."""
        weights = self.weights_for(service, allowed)
        if not weights:
            return PoolId(f"{service}/0")
        if len(weights) == 1:
            return next(iter(weights))
        return choose(weights, prompt[-2].id if len(prompt) > 1 else str(self.numbers))

    # This router's requests

    async def place_in_any(self, offer: Offer, service: ServiceId) -> Decision:
        """Return the decision of the pool of a request's prefix, or of a further one.

        Cancel to withdraw the request.
        """
        pool = self.pool_for(service, offer.prompt, offer.allowed)
        asked = [pool]
        refusals: list[TurnedAway] = []
        while True:
            decision = self._hold_back(offer, pool) or await self.place(offer, pool)
            if isinstance(decision, Granted):
                return decision
            refusals.append(decision)
            weights = self.weights_for(service, offer.allowed)
            further = choose_further(weights, asked, offer.call)
            # Who decides may remember its answer under the old name.
            kept_at = decision.kept_at or offer.kept_at
            offer = replace(offer, call=self.next_call(), kept_at=kept_at)
            if further is not None and len(asked) <= FURTHER_POOLS:
                pool = further
                asked.append(pool)
            elif decision.reason == UNKNOWN_POOL and pool in weights:
                return await self.place(offer, pool, alone=True)
            else:
                return min(refusals, key=lambda item: item.retry_after)

    def _hold_back(self, offer: Offer, pool: PoolId) -> TurnedAway | None:
        """Return the refusal of a request that may not be offered to a pool."""
        refusal = self.held_back.refuse(offer, pool, self.loop.time())
        if refusal is not None:
            self.tallies.of(pool).held_back += 1
        return refusal

    async def place(self, offer: Offer, pool: PoolId, alone: bool = False) -> Decision:
        """Return the decision on a request; cancel to withdraw it.

        Parameters
        ----------
        alone : bool
            Whether this router decides, whoever leads the pool.
        """
        rests = self.rests_in(pool)
        if rests:
            offer = replace(offer, rests=rests)
        tokens = self.held_back.take_tokens(offer, pool)
        if tokens:
            offer = replace(offer, held_back=tokens)
        answered = self.loop.create_future()
        ticket = Ticket(offer, pool, answered, self.loop.time())
        self.tickets[offer.call] = ticket
        if alone:
            self._decide_here(ticket)
        else:
            self._offer(ticket)
        try:
            decision = await ticket.answered
        finally:
            self.tickets.pop(offer.call, None)
            if ticket.timer is not None:
                ticket.timer.cancel()
            if not ticket.answered.done() or ticket.answered.cancelled():
                self._withdraw(ticket)
        if isinstance(decision, Granted):
            self._note_placed(ticket, decision)
        return decision

    def next_call(self) -> CallId:
        """Return a new name for a request at the schedulers."""
        self.numbers += 1
        own = self.fleet.own
        return CallId(f"{own.router}.{own.incarnation & 0xFFFF:x}.{self.numbers}")

    def _offer(self, ticket: Ticket) -> None:
        if ticket.answered.done():
            return
        granter = self.fleet.responsible(ticket.pool)
        if granter != self.fleet.own.router and self._is_given_up(ticket, granter):
            granter = self._pass_over(ticket, granter)
        if granter == self.fleet.own.router:
            self._decide_here(ticket)
            return
        wait = WAITING_AGAIN if ticket.queued else OFFER_WAITS[ticket.unanswered]
        ticket.unanswered += 1
        message = offer_message(ticket.offer, ticket.pool, self.loop.time())
        self.fleet.send(granter, message)
        ticket.timer = self.loop.call_later(wait, self._offer, ticket)

    def _is_given_up(self, ticket: Ticket, granter: RouterId) -> bool:
        """Return whether to leave a router that has not answered.

        One that is late decides with the account of all routers, whoever takes its
        place without it: a router that is heard gets more time.
        """
        if self.fleet.is_heard_since(granter, ticket.asked_at):
            most = LATE_WAITING_MOST if ticket.queued else LATE_OFFERS_MOST
        else:
            most = WAITING_MOST if ticket.queued else OFFERS_MOST
        return ticket.unanswered >= most

    def _pass_over(self, ticket: Ticket, granter: RouterId) -> RouterId:
        """Leave a router that does not answer; return who decides instead."""
        self._note_unanswered(granter)
        self.fleet.send(granter, WithdrawMessage(ticket.pool, ticket.offer.call))
        self.fleet.unanswered(granter)
        ticket.asked_at = self.loop.time()
        ticket.unanswered = 0
        ticket.queued = False
        return self.fleet.responsible(ticket.pool)

    def _decide_here(self, ticket: Ticket) -> None:
        desk = self.pools.get(ticket.pool)
        if desk is None:
            reason = "the service has no endpoints"
            ticket.answered.set_result(TurnedAway(ticket.offer.call, reason, 1.0))
            return
        ticket.local = True
        desk.scheduler.offer(ticket.offer, self.loop.time())
        self._decide(desk)
        if not ticket.answered.done():
            ticket.timer = self.loop.call_later(WAITING_AGAIN, self._offer, ticket)

    def _note_unanswered(self, granter: RouterId) -> None:
        now = self.loop.time()
        if now - self.unanswered.get(granter, 0.0) > UNANSWERED_LOGGED:
            logger.info("scheduler does not answer", extra={"scheduler": granter})
            self.unanswered[granter] = now

    def _withdraw(self, ticket: Ticket) -> None:
        call = ticket.offer.call
        desk = self.pools.get(ticket.pool)
        if desk is not None:
            desk.scheduler.withdraw(call)
        granter = self.fleet.responsible(ticket.pool)
        if granter != self.fleet.own.router:
            self.fleet.send(granter, WithdrawMessage(ticket.pool, call))

    def _note_placed(self, ticket: Ticket, decision: Granted) -> None:
        offer = ticket.offer
        now = self.loop.time()
        memory = offer.prompt_tokens + offer.output_tokens
        active = Active(offer.call, offer.router, offer.prompt_tokens, memory, now, now)
        desk = self.pools.get(ticket.pool)
        load = desk.scheduler.loads.get(decision.endpoint) if desk else None
        known = load.active.get(offer.call) if load else None
        self.placed[offer.call] = Placed(
            ticket.pool, known or active, decision.endpoint, offer.prompt
        )

    def kept_at(
        self,
        prompt: tuple[Part, ...],
        allowed: Collection[DataCentreId] | None = None,
    ) -> EndpointId | None:
        """Return the endpoint that last read the same prefix for this router.

        None where it may get nothing any more, or is in no allowed data centre.
        """
        found = self.sent_prefixes.get(prompt[-2].id) if len(prompt) > 1 else None
        endpoint = self.endpoints.get(found) if found is not None else None
        if endpoint is None or self.gets_nothing(endpoint):
            return None
        return found if allowed is None or endpoint.data_centre in allowed else None

    def _note_prefix(self, placed: Placed) -> None:
        if len(placed.prompt) < 2:
            return
        prefix = placed.prompt[-2].id
        self.sent_prefixes[prefix] = placed.endpoint
        self.sent_prefixes.move_to_end(prefix)
        if len(self.sent_prefixes) > PREFIXES_KEPT:
            self.sent_prefixes.popitem(last=False)

    def begun(self, call: CallId, waited: float) -> None:
        """Tell the scheduler that a request's first byte came."""
        placed = self.placed.get(call)
        if placed is None or placed.active.begun:
            return
        granter = self.fleet.responsible(placed.pool)
        desk = self.pools.get(placed.pool)
        if desk is not None:
            desk.scheduler.begun(call, waited)
            self._decide_soon(desk)
        placed.active.begun = True
        self._note_prefix(placed)
        if granter != self.fleet.own.router:
            message = BegunMessage(placed.pool, call, round(waited * 1000))
            self.fleet.send(granter, message)

    def ended(self, call: CallId, outcome: Outcome) -> None:
        """Tell the scheduler that an attempt ended."""
        placed = self.placed.pop(call, None)
        if placed is None:
            return
        desk = self.pools.get(placed.pool)
        if desk is not None:
            desk.scheduler.ended(call, outcome, self.loop.time())
            self._decide_soon(desk)
        granter = self.fleet.responsible(placed.pool)
        if granter != self.fleet.own.router:
            self.fleet.send(granter, EndedMessage(placed.pool, call, outcome.value))

    async def keep_telling(self) -> None:
        """Tell schedulers for ever what this router has at their endpoints."""
        while True:
            await asyncio.sleep(HOLDING_INTERVAL)
            self.look_around()

    def look_around(self) -> None:
        """Tell what this router has at endpoints, and forget what nobody speaks of."""
        self.tell_held()
        now = self.loop.time()
        for desk in self.pools.values():
            desk.scheduler.expire(now)
            self._decide(desk)
        self.held_back.expire(now)
        if self.tallies.is_due():
            accounts = {desk.id: desk.scheduler.usage for desk in self.pools.values()}
            led = {pool for pool in accounts if self.decides_for(pool)}
            self.tallies.write(accounts, led)

    def tell_held(self) -> None:
        """Tell each scheduler what this router has at its endpoints."""
        now = self.loop.time()
        by_pool: dict[PoolId, list[Held]] = {}
        for call, placed in self.placed.items():
            placed.active.refreshed = now
            active = placed.active
            held = Held(
                call, placed.endpoint, active.unread, active.memory, active.begun
            )
            by_pool.setdefault(placed.pool, []).append(held)
        for pool, held in by_pool.items():
            granter = self.fleet.responsible(pool)
            if granter == self.fleet.own.router:
                self._take_held(self.fleet.own.router, pool, held)
                continue
            for start in range(0, len(held), HELD_IN_ONE):
                part = held[start : start + HELD_IN_ONE]
                self.fleet.send(granter, HoldingMessage(pool, part))

    def fleet_changed(self) -> None:
        """Offer again what waits, since another router may decide now."""
        self.tell_held()
        for ticket in list(self.tickets.values()):
            if ticket.timer is not None:
                ticket.timer.cancel()
            ticket.asked_at = self.loop.time()
            ticket.unanswered = 0
            ticket.queued = False
            self._offer(ticket)

    # Decisions for the fleet

    def _decide_soon(self, desk: PoolDesk, delay: float = DECIDE_DELAY) -> None:
        if not desk.scheduler.waiting:
            return
        if desk.due is not None:
            if desk.due.when() - self.loop.time() <= delay:
                return
            desk.due.cancel()
        desk.due = self.loop.call_later(delay, self._decide, desk)

    def _decide(self, desk: PoolDesk) -> None:
        now = self.loop.time()
        if desk.due is not None:
            tally = self.tallies.of(desk.id)
            late = now - desk.due.when()
            tally.latest = max(tally.latest, late)
            if late >= LATE_ROUND:
                self.hurried_until = now + HURRIED_FOR
            desk.due.cancel()
            desk.due = None
        if not desk.scheduler.waiting:
            return
        if now < self.next_round:
            pause = self.next_round - now
            desk.due = self.loop.call_later(pause, self._decide, desk)
            return
        scheduler = desk.scheduler
        leads = self.decides_for(desk.id)
        desk.lead(leads, now)
        share = 1.0 if leads else self.fleet.stand_in_share()
        scheduler.plan = msgspec.structs.replace(scheduler.plan, share=share)
        scheduler.hurried = now < self.hurried_until
        decisions = scheduler.decide(now)
        for decision in decisions:
            self._announce(decision)
        self._note_round(desk.id, decisions, leads, now)
        ended = self.loop.time()
        pause = ROUND_PAUSE * (ended - now)
        self.next_round = ended + pause
        if pause >= LATE_ROUND:
            self.hurried_until = ended + HURRIED_FOR
        if scheduler.waiting:
            desk.due = self.loop.call_later(DECIDE_INTERVAL, self._decide, desk)

    def _note_round(
        self, pool: PoolId, decisions: list[Decision], leads: bool, begun: float
    ) -> None:
        tally = self.tallies.of(pool)
        tally.rounds += 1
        tally.spent += self.loop.time() - begun
        granted = sum(isinstance(item, Granted) for item in decisions)
        tally.granted += granted
        tally.turned_away += len(decisions) - granted
        if not leads:
            self.tallies.alone += granted

    def _announce(self, decision: Decision) -> None:
        self.decided[decision.call] = decision
        if len(self.decided) > DECIDED_KEPT:
            self.decided.popitem(last=False)
        ticket = self.tickets.get(decision.call)
        if ticket is not None:
            if not ticket.answered.done():
                self._answer(ticket, self._based(decision), self.fleet.own.router)
            return
        router = RouterId(decision.call.rsplit(".", 2)[0])
        self.fleet.send(router, decision_message(decision, self.basis()))

    def _based(self, decision: Decision) -> Decision:
        """Return a decision of this router with what it was made on."""
        if isinstance(decision, TurnedAway):
            decider = self.fleet.own.router
            return msgspec.structs.replace(decision, decider=decider)
        return msgspec.structs.replace(decision, basis=self.basis())

    def endpoint_lost(self, endpoint: EndpointId) -> None:
        """Send nothing more to an endpoint that has ended, whoever found out."""
        now = self.loop.time()
        for desk in self.pools.values():
            desk.scheduler.lost(endpoint, now)

    # Messages

    def take(self, datagram: Datagram) -> None:
        """Take the messages of a peer."""
        for message in datagram.messages:
            self._take(message, datagram.sender)

    @singledispatchmethod
    def _take(self, message: Message, sender: RouterId) -> None:
        """Take one message; heartbeats are the fleet's."""

    @_take.register
    def _(self, message: OfferMessage, sender: RouterId) -> None:
        decision = self.decided.get(message.call)
        if decision is not None:
            self.fleet.send(sender, decision_message(decision, self.basis()))
            return
        desk = self.pools.get(message.pool)
        if desk is None:
            self._refuse_unknown(message, sender)
            return
        now = self.loop.time()
        if not self.decides_for(message.pool):
            self.fleet.doubt(self.fleet.leader(message.pool))
        known = message.call in desk.scheduler.waiting
        tally = self.tallies.of(message.pool)
        if known:
            tally.again += 1
        else:
            tally.offers += 1
        desk.scheduler.offer(offer_of(message, sender, now), now)
        may_decide = not known and now >= self.next_round
        if may_decide and desk.scheduler.has_room(now):
            self._decide(desk)
        self._decide_soon(desk, DECIDE_INTERVAL)
        if message.call in desk.scheduler.waiting:
            self.fleet.send(sender, WaitMessage(message.call))

    def _refuse_unknown(self, message: OfferMessage, sender: RouterId) -> None:
        """Answer an offer for a pool that this router doesn't have.

        Routers that know of more or fewer endpoints divide them differently, and one
        that doesn't answer passes for dead.
        """
        self.tallies.unknown += 1
        refusal = _unknown_pool(message.call)
        self.fleet.send(sender, decision_message(refusal, self.basis()))

    @_take.register
    def _(self, message: WithdrawMessage, sender: RouterId) -> None:
        desk = self.pools.get(message.pool)
        if desk is not None:
            self.tallies.of(message.pool).withdrawn += 1
            desk.scheduler.withdraw(message.call)
            desk.scheduler.ended(message.call, Outcome.CANCELLED, self.loop.time())

    @_take.register
    def _(self, message: WaitMessage, sender: RouterId) -> None:
        ticket = self.tickets.get(message.call)
        if ticket is None or ticket.local:
            return
        ticket.unanswered = 0
        if not ticket.queued:
            ticket.queued = True
            ticket.timer.cancel()
            ticket.timer = self.loop.call_later(WAITING_AGAIN, self._offer, ticket)

    @_take.register
    def _(self, message: GrantMessage, sender: RouterId) -> None:
        self._resolve(granted_of(message, sender), sender)

    @_take.register
    def _(self, message: TurnAwayMessage, sender: RouterId) -> None:
        self._resolve(turned_away_of(message, sender), sender)

    def _resolve(self, decision: Decision, sender: RouterId) -> None:
        ticket = self.tickets.get(decision.call)
        if ticket is None or ticket.answered.done():
            return
        asked = self.fleet.responsible(ticket.pool)
        if asked not in (sender, self.fleet.own.router):
            # A late answer of one that was passed over; the next in line may have
            # kept a place meanwhile.
            self.fleet.send(asked, WithdrawMessage(ticket.pool, decision.call))
        if ticket.local:
            desk = self.pools.get(ticket.pool)
            if desk is not None:
                desk.scheduler.withdraw(decision.call)
        self._answer(ticket, decision, sender)

    def _answer(self, ticket: Ticket, decision: Decision, decider: RouterId) -> None:
        """Give a request its decision, and take what it tells of its organisation."""
        ticket.answered.set_result(decision)
        if isinstance(decision, TurnedAway) and decision.reason == UNKNOWN_POOL:
            return
        if decider == self.fleet.leader(ticket.pool):
            now = self.loop.time()
            self.held_back.take(ticket.offer, ticket.pool, decision, decider, now)

    @_take.register
    def _(self, message: BegunMessage, sender: RouterId) -> None:
        desk = self.pools.get(message.pool)
        if desk is not None:
            desk.scheduler.begun(message.call, message.waited / 1000)
            self._decide_soon(desk)

    @_take.register
    def _(self, message: EndedMessage, sender: RouterId) -> None:
        desk = self.pools.get(message.pool)
        if desk is not None:
            outcome = Outcome(message.outcome)
            desk.scheduler.ended(message.call, outcome, self.loop.time())
            self._decide_soon(desk)

    @_take.register
    def _(self, message: HoldingMessage, sender: RouterId) -> None:
        self._take_held(sender, message.pool, message.held)

    def _take_held(self, router: RouterId, pool: PoolId, held: list[Held]) -> None:
        desk = self.pools.get(pool)
        if desk is None:
            return
        now = self.loop.time()
        for item in held:
            active = Active(item.call, router, item.unread, item.memory, now, now)
            active.begun = item.begun
            desk.scheduler.holds(item.endpoint, active)


def _unknown_pool(call: CallId) -> TurnedAway:
    """Return the refusal of a request for a pool that is not there."""
    return TurnedAway(call, UNKNOWN_POOL, UNKNOWN_POOL_RETRY)
