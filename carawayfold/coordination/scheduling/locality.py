"""Decision whether a request leaves its data centre, and how many requests do.

Situations it is designed for:

- A data centre whose endpoints are too few for its callers, beside one with room. It
  sends what it lacks, up to the room that the other one doesn't owe its own callers.
- Data centres whose load varies in turn. They don't send each other requests at the
  same time.
- Requests that are large to send. They stay longer than small ones.
- A data centre that is cut off. Its requests don't wait for endpoints elsewhere.

The policy of a scheduler has no effect while the setting `remote_cost` is 0. It
performs no input or output and takes the time as an argument. All times are in
monotonic seconds.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.scheduling import rejections
from carawayfold.coordination.scheduling.data_centre_pairs import (
    DataCentrePair,
    Sent,
    Transfer,
)
from carawayfold.coordination.scheduling.evaluations import (
    CrossingCost,
    Evaluation,
    cheapest,
    missing_tokens,
    pick,
)
from carawayfold.coordination.scheduling.offers import Outcome
from carawayfold.coordination.scheduling.placement import (
    FULL_ENGINE_PENALTY,
    MIN_OBJECTIVE,
    REMOTE_PENALTY,
    choose_endpoint,
    evaluate,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from carawayfold.coordination.scheduling.backlog import Backlog
    from carawayfold.coordination.scheduling.copy_sources import CopySource
    from carawayfold.coordination.scheduling.endpoint_load import EndpointLoad
    from carawayfold.coordination.scheduling.offers import Offer
    from carawayfold.coordination.scheduling.placement import Candidate
    from carawayfold.coordination.scheduling.rank import QueueEntry
    from carawayfold.state.ids import CallId, DataCentreId, RouterId

#: Bytes in a megabyte.
MEGABYTE = 1_000_000
#: Tokens of a long prompt, for the best prediction at two lengths.
LONG_PROMPT_TOKENS = 10_000
#: Estimated bytes of an answer without its tokens: head, framing and a short body.
ANSWER_BYTES = 1000
#: Estimated bytes of a token in an answer: some four characters of text, and its part
#: of the JSON frame of an event of several tokens.
TOKEN_BYTES = 32
#: Estimated bytes of a cached token that is copied between engines. Engines differ from
#: some kilobytes with a compressed cache to over a hundred; the platform doesn't state
#: it, and a higher estimate would keep requests from engines with room.
COPIED_TOKEN_BYTES = 4096
#: Maximum bytes of a request and its answer that are counted, so that a wrong size
#: can't cost more than the largest body that routes usually permit, and an answer.
MAX_CROSSING_BYTES = 8 * MEGABYTE
#: Fraction of the cost by which the saving must exceed it before a pair begins to send.
START_MARGIN = 0.5
#: Half-life in seconds of a data centre's mean use by its own callers: long enough to
#: span the gaps between requests, short enough to follow a burst.
USE_HALF_LIFE = 0.7
#: Reserve for a data centre's own callers, in standard deviations of their use if they
#: arrive independently.
RESERVE_DEVIATIONS = 1.0
#: Penalty of a data centre beyond its budget or against the flow, as a multiple of the
#: request's objective. The request waits for a local endpoint as long as it is still in
#: time there with a margin; a penalty of a whole objective would make it late instead.
LIMITED_PENALTY_OBJECTIVES = 0.125
#: Penalty in seconds of an endpoint that is owed to callers of its data centre: more
#: than being late, as those callers would be late instead.
BLOCKED_PENALTY = 10.0
#: Penalty in seconds of a data centre that counts as cut off: more than any wait for
#: an endpoint that can be reached.
CUT_PENALTY = 60.0
#: Minimum seconds between two counts of the requests in flight by data centre, and
#: between two estimates of latencies.
COUNT_INTERVAL = 0.01
ESTIMATE_INTERVAL = 0.1
#: Multiple of its prediction to which an observed wait is limited. An endpoint that
#: pauses gives no information about the latency.
OUTLIER_FACTOR = 3.0
#: Maximum data centres and routers that are remembered.
MAX_DATA_CENTRES = 16
MAX_ROUTERS = 1024
#: Maximum begins and ends of sending that wait to be logged.
MAX_TRANSFERS = 64


class DataCentreRoom(msgspec.Struct, eq=False):
    """Endpoints of the pool in one data centre, and their use.

    Attributes
    ----------
    slots : float
        Slots that this scheduler may fill.
    running : float
        Requests in flight.
    ready : int
        Endpoints with a free slot and nothing to prefill.
    residence : float
        Mean residence time of a request in seconds.
    speed : float
        Prefill rate of all engines that this scheduler may use, in tokens per second.
    idle_wait, long_idle_wait : float
        Least predicted seconds to the first token at an idle engine, without a prompt
        and with one of `LONG_PROMPT_TOKENS`.
    own, remote : float
        Requests in flight of its own callers and of others.
    own_mean : float
        Mean slots that its own callers wanted recently.
    own_prefill, remote_prefill : float
        Mean prefill rate granted to its own callers and to others, in tokens per
        second.
    updated_at : float
        Time of the last decay.
    """

    slots: float = 0.0
    running: float = 0.0
    ready: int = 0
    residence: float = 0.0
    speed: float = 0.0
    idle_wait: float = 0.0
    long_idle_wait: float = 0.0
    own: float = 0.0
    remote: float = 0.0
    own_mean: float = 0.0
    own_prefill: float = 0.0
    remote_prefill: float = 0.0
    updated_at: float = 0.0

    def decay(self, wanted: float, now: float) -> None:
        """Update the means up to `now`; `wanted` is the slots wanted by own callers."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / USE_HALF_LIFE)
        self.updated_at = now
        self.own_mean = wanted + (self.own_mean - wanted) * factor
        self.own_prefill *= factor
        self.remote_prefill *= factor

    def record_grant(self, prefill_tokens: int, is_own: bool) -> None:
        """Count a granted request."""
        rate = prefill_tokens * math.log(2) / USE_HALF_LIFE
        if is_own:
            self.own += 1
            self.own_prefill += rate
        else:
            self.remote += 1
            self.remote_prefill += rate

    def own_use(self, queued: int) -> float:
        """Return the slots owed to own callers, of whom `queued` requests wait."""
        prefill = self.slots * self.own_prefill / self.speed if self.speed else 0.0
        return min(self.slots, max(self.own_mean, self.own + queued, prefill))

    def remote_use(self) -> float:
        """Return the slots used by other data centres, by number or by prefill."""
        prefill = self.slots * self.remote_prefill / self.speed if self.speed else 0.0
        return max(self.remote, prefill)

    def best_wait(self, tokens: int) -> float:
        """Return about the least predicted seconds to the first token when idle."""
        increase = self.long_idle_wait - self.idle_wait
        return self.idle_wait + increase * tokens / LONG_PROMPT_TOKENS

    def time_to_serve(self, queued: int, tokens: int) -> float:
        """Return the seconds until waiting requests with `tokens` have begun here."""
        by_slots = queued * self.residence / self.slots if self.slots else 0.0
        return max(by_slots, tokens / self.speed if tokens and self.speed else 0.0)

    def budget(self, queued: int) -> float:
        """Return the slots that other data centres may use in total."""
        own_use = self.own_use(queued)
        reserve = RESERVE_DEVIATIONS * math.sqrt(own_use)
        return max(0.0, self.slots - own_use - reserve)


@dataclass(slots=True, eq=False)
class LocalityPolicy:
    """Decides for the scheduler of a pool when requests leave their data centre.

    Attributes
    ----------
    remote_cost : float
        Seconds of waiting that a megabyte between data centres is worth; 0 switches the
        policy off.
    rooms : dict
        Use of each data centre with endpoints of the pool.
    pairs : dict
        State of each ordered pair of data centres.
    routers : dict
        Data centre of each router that offered requests.
    queued, queued_tokens : Counter
        Waiting requests by data centre, and the tokens of their own parts.
    granted : Counter
        Waiting requests by data centre that this round of decisions has granted.
    transfers : deque of Transfer
        Begins and ends of sending that are not logged yet.
    clock : float
        Time of the last round of decisions.
    counted_at, estimated_at : float
        Time of the last count of requests in flight, and estimate of latencies.
    """

    remote_cost: float = 0.0
    rooms: dict[DataCentreId, DataCentreRoom] = field(default_factory=dict)
    pairs: dict[tuple[DataCentreId, DataCentreId], DataCentrePair] = field(
        default_factory=dict
    )
    routers: dict[RouterId, DataCentreId] = field(default_factory=dict)
    queued: Counter[DataCentreId] = field(default_factory=Counter)
    queued_tokens: Counter[DataCentreId] = field(default_factory=Counter)
    granted: Counter[DataCentreId] = field(default_factory=Counter)
    transfers: deque[Transfer] = field(
        default_factory=lambda: deque(maxlen=MAX_TRANSFERS)
    )
    clock: float = 0.0
    counted_at: float = -math.inf
    estimated_at: float = -math.inf

    # Input

    def record_offer(self, offer: Offer) -> None:
        """Record a request that was added to the queue."""
        if not self.remote_cost or not offer.data_centre:
            return
        self.queued[offer.data_centre] += 1
        self.queued_tokens[offer.data_centre] += _unshared_tokens(offer)
        if len(self.routers) >= MAX_ROUTERS and offer.router not in self.routers:
            del self.routers[next(iter(self.routers))]
        self.routers[offer.router] = offer.data_centre

    def record_withdrawal(self, offer: Offer | None) -> None:
        """Record that a request, None if it wasn't queued, has left the queue."""
        if not self.remote_cost or offer is None or not offer.data_centre:
            return
        # Those of a round are withdrawn together at its end.
        self.granted.clear()
        self.queued[offer.data_centre] -= 1
        self.queued_tokens[offer.data_centre] -= _unshared_tokens(offer)
        if self.queued[offer.data_centre] <= 0:
            del self.queued[offer.data_centre], self.queued_tokens[offer.data_centre]

    def record_first_byte(
        self, load: EndpointLoad, call: CallId, waited: float
    ) -> None:
        """Record the wait for the first byte of a request, before its load does.

        Parameters
        ----------
        load : EndpointLoad
            State of the endpoint.
        call : CallId
            The request.
        waited : float
            Seconds since it was sent; 0 if unknown.
        """
        active = load.active.get(call)
        if not self.remote_cost or active is None:
            return
        pair = self._known_pair(active.router, load.endpoint.data_centre)
        if pair is None:
            return
        pair.record_success()
        if waited <= 0 or active.begun:
            return
        expected = (
            load.first_tokens.predict(active.queued_tokens)
            if active.queued_tokens
            else load.residence
        )
        excess = min(waited, OUTLIER_FACTOR * expected) - expected
        pair.waits.add(excess, self.clock)

    def record_end(
        self, load: EndpointLoad, router: RouterId, outcome: Outcome, now: float
    ) -> None:
        """Record the end of an attempt of a router at an endpoint."""
        if not self.remote_cost:
            return
        pair = self._known_pair(router, load.endpoint.data_centre)
        if pair is None:
            return
        if outcome is Outcome.COMPLETE:
            pair.record_success()
        elif outcome in (Outcome.UNREACHABLE, Outcome.SILENT):
            pair.record_failure(load.endpoint.id, now)

    def refresh(self, backlogs: list[Backlog], share: float, now: float) -> None:
        """Update the use of each data centre before a round of decisions.

        Parameters
        ----------
        backlogs : list of Backlog
            Loads of the endpoints of the pool.
        share : float
            Fraction of each endpoint that this scheduler may fill, 0 to 1.
        now : float
            Monotonic seconds.
        """
        if not self.remote_cost:
            return
        self.clock = now
        self.granted.clear()
        by_data_centre: dict[DataCentreId, list[Backlog]] = {}
        for item in backlogs:
            if not item.suspended:
                by_data_centre.setdefault(item.data_centre, []).append(item)
        for data_centre in [*self.rooms]:
            if data_centre not in by_data_centre:
                del self.rooms[data_centre]
        for data_centre, items in by_data_centre.items():
            self._refresh_room(data_centre, items, share, now)
        if now - self.counted_at >= COUNT_INTERVAL:
            self.counted_at = now
            for data_centre, room in self.rooms.items():
                self._count_active(data_centre, room, by_data_centre[data_centre])
        for data_centre, room in self.rooms.items():
            wanted = min(room.slots, room.own + self.queued[data_centre])
            room.decay(wanted, now)
        if now - self.estimated_at >= ESTIMATE_INTERVAL:
            self.estimated_at = now
            self._estimate_latencies(now)

    def _refresh_room(
        self, data_centre: DataCentreId, items: list[Backlog], share: float, now: float
    ) -> None:
        room = self.rooms.get(data_centre)
        if room is None:
            if len(self.rooms) >= MAX_DATA_CENTRES:
                return
            room = self.rooms[data_centre] = DataCentreRoom(updated_at=now)
            self.counted_at = -math.inf
        room.slots = share * sum(item.slots for item in items)
        room.running = sum(item.running for item in items)
        room.ready = sum(
            item.prefill_tokens <= 0 and item.running < share * item.slots
            for item in items
        )
        room.residence = sum(item.residence for item in items) / len(items)
        room.speed = share * sum(item.speed for item in items)
        room.idle_wait = min(item.first_token_delay for item in items)
        room.long_idle_wait = min(
            item.first_token_delay + LONG_PROMPT_TOKENS / item.speed for item in items
        )

    def _count_active(
        self, data_centre: DataCentreId, room: DataCentreRoom, items: list[Backlog]
    ) -> None:
        """Count requests in flight; those of unknown routers count as own ones."""
        routers = self.routers
        remote = sum(
            routers.get(active.router, data_centre) != data_centre
            for item in items
            for active in item.load.active.values()
        )
        room.remote = remote
        room.own = room.running - remote

    def _estimate_latencies(self, now: float) -> None:
        for (origin, target), pair in self.pairs.items():
            own = self.pairs.get((target, target))
            if origin != target and own is not None:
                pair.estimate_latency(own.waits, REMOTE_PENALTY, now)

    # Decisions

    def split(
        self, queue: list[QueueEntry], length: int
    ) -> tuple[list[QueueEntry], list[QueueEntry]]:
        """Return the `length` requests of a queue that are examined, and the others.

        Each data centre has an equal part of them, as far as its requests wait.
        Otherwise, requests that wait for the endpoints of one data centre would keep
        those behind them from the idle endpoints of another.
        """
        if not self.remote_cost or len(queue) <= length or len(self.queued) < 2:
            return queue[:length], queue[length:]
        part = length // len(self.queued)
        left = length - sum(min(part, count) for count in self.queued.values())
        parts = dict.fromkeys(self.queued, part)
        head, tail = [], []
        for position, entry in enumerate(queue):
            if len(head) == length:
                return head, tail + queue[position:]
            data_centre = entry.offer.data_centre
            if parts.get(data_centre, 0) > 0:
                parts[data_centre] -= 1
                head.append(entry)
            elif left > 0:
                left -= 1
                head.append(entry)
            else:
                tail.append(entry)
        return head, tail

    def predict_tail(
        self, offers: list[Offer], backlogs: list[Backlog], speed: float
    ) -> Iterator[tuple[Offer, float]]:
        """Yield each request behind the head of the queue with its predicted wait.

        Requests don't wait for those of another data centre that stay there, so the
        shorter one of the waits in the pool and in their own data centre counts. See
        `rejections.predict_tail`.
        """
        at_home: dict[CallId, float] = {}
        for data_centre in self.rooms if self.remote_cost else ():
            own = [item for item in offers if item.data_centre == data_centre]
            items = [
                item
                for item in backlogs
                if item.data_centre == data_centre and not item.suspended
            ]
            for offer, wait in rejections.predict_tail(own, items, speed):
                at_home[offer.call] = wait
        for offer, wait in rejections.predict_tail(offers, backlogs, speed):
            yield offer, min(wait, at_home.get(offer.call, wait))

    def choose(
        self,
        offer: Offer,
        usable: list[Backlog],
        copy_source: CopySource | None,
        share: float,
        now: float,
        is_too_late: Callable[[Offer, Candidate, float], bool],
    ) -> Candidate | None:
        """Return the endpoint of a request, None if there is none.

        Parameters
        ----------
        offer : Offer
            The request.
        usable : list of Backlog
            Loads of the endpoints it may run on.
        copy_source : CopySource or None
            Engine from which a cached prefix of the prompt can be copied.
        share : float
            Fraction of each endpoint that the request may fill, 0 to 1.
        now : float
            Monotonic seconds.
        is_too_late : callable
            Returns whether a request that would wait for an endpoint is rejected.
        """
        if not self.remote_cost or not offer.data_centre:
            return choose_endpoint(offer, usable, copy_source, share, now)
        evaluation = self.evaluate_all(offer, usable, copy_source, share, now)
        return self.choose_from(offer, evaluation, now, is_too_late)

    def choose_from(
        self,
        offer: Offer,
        evaluation: Evaluation,
        now: float,
        is_too_late: Callable[[Offer, Candidate, float], bool],
    ) -> Candidate | None:
        """Return the endpoint of a request among those evaluated, see `choose`."""
        best = pick(evaluation, lambda place: is_too_late(offer, place, now))
        if evaluation.by_policy and best is not None and best.starts_in <= 0:
            local = cheapest(evaluation.here)
            self._record_choice(offer, best, local, evaluation.costs, now)
        return best

    def evaluate_all(
        self,
        offer: Offer,
        usable: list[Backlog],
        copy_source: CopySource | None,
        share: float,
        now: float,
    ) -> Evaluation:
        """Return the evaluation of each endpoint for a request, see `choose`."""
        if not self.remote_cost or not offer.data_centre:
            here = [
                evaluate(offer, backlog, copy_source, share, now) for backlog in usable
            ]
            return Evaluation(here)
        found = Evaluation(costs=self._crossing_costs(offer, now), by_policy=True)
        for backlog in usable:
            candidate = evaluate(offer, backlog, copy_source, share, now, 0.0)
            if candidate.copied_tokens:
                candidate.cost += self._copy_cost(candidate, copy_source)
            is_here = backlog.data_centre == offer.data_centre
            (found.here if is_here else found.elsewhere).append(candidate)
        missing = [missing_tokens(item) for item in found.here]
        least_missing = min(missing, default=offer.prompt_tokens)
        for candidate in found.elsewhere:
            crossing = found.costs.get(candidate.backlog.data_centre)
            if crossing is None:
                candidate.cost += REMOTE_PENALTY
                continue
            candidate.cost += crossing.seconds
            if crossing.blocks(candidate, min(least_missing, offer.prompt_tokens)):
                candidate.cost += BLOCKED_PENALTY
                found.blocked.append(candidate)
        return found

    def _copy_cost(self, candidate: Candidate, source: CopySource | None) -> float:
        """Return the seconds that copying a prefix from another data centre costs."""
        if not _is_copied_from_elsewhere(candidate, source):
            return 0.0
        copied = candidate.copied_tokens * COPIED_TOKEN_BYTES
        return self.remote_cost * copied / MEGABYTE

    def _crossing_costs(
        self, offer: Offer, now: float
    ) -> dict[DataCentreId, CrossingCost]:
        """Return the cost of each other data centre for a request."""
        origin = offer.data_centre
        transfer = self.remote_cost * crossing_bytes(offer) / MEGABYTE
        relief = self._relief(offer)
        own = self.rooms.get(origin)
        costs = {}
        for target, room in self.rooms.items():
            if target == origin:
                continue
            queued = self._waiting(target)
            pair = self.pairs.get((origin, target))
            reverse = self.pairs.get((target, origin))
            latency = pair.latency if pair is not None else None
            cost = (REMOTE_PENALTY if latency is None else latency) + transfer
            seconds = cost + _apparent_saving(offer, own, room)
            if pair is None or not pair.is_sending(now):
                seconds += START_MARGIN * cost
            against_flow = reverse is not None and reverse.is_sending(now)
            limited = against_flow or room.remote_use() + 1 > room.budget(queued)
            cut = pair is not None and now < pair.cut_until
            # Engines are short of prefill before they are short of slots.
            free = room.ready if offer.prompt_tokens else room.slots - room.running
            owed = queued > 0 and queued >= free
            if limited:
                objective = max(MIN_OBJECTIVE, offer.due - offer.arrived)
                seconds += LIMITED_PENALTY_OBJECTIVES * objective
            seconds = max(0.0, seconds - relief)
            if cut:
                seconds += CUT_PENALTY
            costs[target] = CrossingCost(cost, seconds, limited, owed, cut)
        return costs

    def _relief(self, offer: Offer) -> float:
        """Return the seconds that the other requests of a data centre wait.

        A request that leaves saves this time for the last one that waits. The first
        one, which is examined, may itself have little left to wait.
        """
        origin = offer.data_centre
        room = self.rooms.get(origin)
        others = self._waiting(origin) - 1
        if room is None or others <= 0:
            return 0.0
        tokens = self.queued_tokens[origin] - _unshared_tokens(offer)
        return room.time_to_serve(others, tokens)

    def _record_choice(
        self,
        offer: Offer,
        chosen: Candidate,
        local: Candidate | None,
        costs: dict[DataCentreId, CrossingCost],
        now: float,
    ) -> None:
        """Record a request that is granted an endpoint, wherever that is."""
        origin, target = offer.data_centre, chosen.backlog.data_centre
        self.granted[origin] += 1
        room = self.rooms.get(target)
        if room is not None:
            room.record_grant(chosen.prefill_tokens, origin == target)
            room.running += 1
            room.ready -= 1
        if target not in costs:
            return
        pair = self._pair(origin, target)
        if pair is None:
            return
        sent_bytes = crossing_bytes(offer)
        if local is not None and missing_tokens(chosen) < missing_tokens(local):
            pair.by_prefix.add(sent_bytes)
            return
        pair.by_load.add(sent_bytes)
        if not pair.is_sending(now):
            self._end(origin, target, pair)
            pair.sending = Sent()
            wait = None if local is None else local.first_token_in
            self.transfers.append(
                Transfer(
                    origin,
                    target,
                    begins=True,
                    local_wait=wait,
                    remote_wait=chosen.first_token_in,
                    cost=costs[target].cost,
                    budget=self.budgets().get(target, 0.0),
                )
            )
        pair.sending.add(sent_bytes)
        pair.last_sent_at = now

    def expire(self, now: float) -> None:
        """End the sending of pairs that no longer send."""
        for (origin, target), pair in self.pairs.items():
            if not pair.is_sending(now):
                self._end(origin, target, pair)

    def _end(
        self, origin: DataCentreId, target: DataCentreId, pair: DataCentrePair
    ) -> None:
        sent, pair.sending = pair.sending, None
        if sent is not None:
            self.transfers.append(
                Transfer(
                    origin,
                    target,
                    begins=False,
                    requests=sent.requests,
                    sent_bytes=sent.sent_bytes,
                )
            )

    # Output

    def budgets(self) -> dict[DataCentreId, float]:
        """Return the slots of each data centre that others may use in total."""
        return {
            data_centre: room.budget(self._waiting(data_centre))
            for data_centre, room in self.rooms.items()
        }

    def sent(self) -> dict[tuple[DataCentreId, DataCentreId, str], Sent]:
        """Return what left each data centre for another, by the reason."""
        return {
            (origin, target, reason): sent
            for (origin, target), pair in self.pairs.items()
            for reason, sent in (("load", pair.by_load), ("prefix", pair.by_prefix))
            if sent.requests
        }

    def take_transfers(self) -> list[Transfer]:
        """Return and forget the begins and ends of sending that are not logged yet."""
        transfers = list(self.transfers)
        self.transfers.clear()
        return transfers

    def _waiting(self, data_centre: DataCentreId) -> int:
        """Return the requests of a data centre that wait, without those granted."""
        return max(0, self.queued[data_centre] - self.granted[data_centre])

    def _known_pair(
        self, router: RouterId, target: DataCentreId
    ) -> DataCentrePair | None:
        origin = self.routers.get(router)
        return self._pair(origin, target) if origin else None

    def _pair(
        self, origin: DataCentreId, target: DataCentreId
    ) -> DataCentrePair | None:
        """Return the state of a pair, None if there are too many.

        Pairs from a data centre without endpoints of the pool give way to others, the
        oldest first.
        """
        pair = self.pairs.get((origin, target))
        if pair is not None:
            return pair
        if len(self.pairs) >= MAX_DATA_CENTRES**2:
            others = (known for known in self.pairs if known[0] not in self.rooms)
            oldest = next(others, None)
            if oldest is None:
                return None
            del self.pairs[oldest]
        pair = self.pairs[origin, target] = DataCentrePair()
        return pair


def crossing_bytes(offer: Offer) -> int:
    """Return the estimated bytes of a request and its answer."""
    answer = ANSWER_BYTES + TOKEN_BYTES * max(0, offer.output_tokens)
    return min(MAX_CROSSING_BYTES, max(0, offer.body_bytes) + answer)


def _apparent_saving(
    offer: Offer, own: DataCentreRoom | None, other: DataCentreRoom
) -> float:
    """Return the seconds by which another data centre seems better without a wait.

    An evaluation prefers emptier endpoints, and engines with a shorter fitted time to
    the first token; those that were not used yet have a long one. Neither is a reason
    to leave. Engines that are really slower let their requests wait, or be late.
    """
    used = min(1.0, other.running / other.slots) if other.slots else 1.0
    if not offer.prompt_tokens:
        return other.residence * (1 - used)
    saving = FULL_ENGINE_PENALTY * (1 - used)
    if own is not None:
        tokens = offer.prompt_tokens
        saving += max(0.0, own.best_wait(tokens) - other.best_wait(tokens))
    return saving


def _unshared_tokens(offer: Offer) -> int:
    """Return the tokens of the prompt that no other request shares."""
    return max(0, offer.prompt_tokens - offer.shared_prefix_tokens)


def _is_copied_from_elsewhere(candidate: Candidate, source: CopySource | None) -> bool:
    """Return whether a prefix would be copied from another data centre."""
    if not candidate.copied_tokens or source is None or source.data_centre is None:
        return False
    return source.data_centre != candidate.backlog.data_centre
