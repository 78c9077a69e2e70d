"""Simulation of a backend server, its admission gate and clients with aggressive retries."""

import enum
import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from wisteria_admission import (
    AdmissionConfig,
    AdmissionGate,
    AimdLimiter,
    ChainLevels,
    Dispatch,
    FixedLimiter,
    GradientLimiter,
    Limiter,
    LimiterConfig,
    Outcome,
    Queued,
    Refuse,
    Ticket,
    shed_rank,
)
from wisteria_core import Priority, Refusal

SLOTS = 40
KNEE_CALLS = 16
WORK_MS = 40.0
CAPACITY_PER_MS = KNEE_CALLS / WORK_MS
BASE_LOAD = 0.9
WARM_UP_MS = 3_000
SURGE_MS = 6_000
SLOW_FROM_MS = 4_500
SLOW_UNTIL_MS = 7_500
END_MS = 15_000
WINDOW_MS = 250
TICK_MS = 20
ROUTE = "read"
MAX_ATTEMPTS = 4
RETRY_DELAY_MS = 40
ACCOUNTS = 8
SURGING_ACCOUNT = "account-0"
PRIORITY_MIX = ((Priority.URGENT, 5), (Priority.HIGH, 15), (Priority.NORMAL, 60))
DEADLINE_MS = {
    Priority.URGENT: 800,
    Priority.HIGH: 1_000,
    Priority.NORMAL: 1_000,
    Priority.BACKGROUND: 1_500,
}


class Slowdown(enum.Enum):
    """What falls to a third while the backend server is slow."""

    LATENCY = "latency"
    CAPACITY = "capacity"


class Order(enum.Enum):
    """Order of the queue."""

    FAIR = "fair"
    FIFO = "fifo"
    LIFO = "lifo"


@attrs.frozen
class Scenario:
    """One run: the policy and the load."""

    limiter: str
    order: Order
    load: int
    slowdown: Slowdown
    seed: int


@attrs.define
class Request:
    """One request of a client, over all its attempts."""

    name: str
    account: str
    priority: Priority
    deadline_ms: int
    work_ms: float
    arrived_ms: int
    attempts: int = 0
    done: bool = False


def is_calm(arrived_ms: int) -> bool:
    """Return whether a request arrived after the cold start and clearly before the surge."""
    return 1_000 <= arrived_ms < WARM_UP_MS - 500


@attrs.define
class SimulatedServer:
    """Processor-sharing server whose total throughput falls when concurrency exceeds a knee."""

    slowdown: Slowdown
    progress: float = 0.0
    updated_ms: float = 0.0
    running: list[tuple[float, int]] = attrs.Factory(list)

    def rate(self, now_ms: float) -> float:
        """Return the progress of each running call per millisecond."""
        slow = SLOW_FROM_MS <= now_ms < SLOW_UNTIL_MS
        knee = KNEE_CALLS / 3 if slow and self.slowdown is Slowdown.CAPACITY else float(KNEE_CALLS)
        speed = 1 / 3 if slow and self.slowdown is Slowdown.LATENCY else 1.0
        count = len(self.running)
        if count <= knee:
            return speed
        return speed * knee / count / (1.0 + 0.5 * (count - knee) / knee)

    def advance(self, now_ms: float) -> None:
        """Advance the running calls to `now_ms`."""
        self.progress += self.rate(self.updated_ms) * (now_ms - self.updated_ms)
        self.updated_ms = now_ms

    def start(self, call: int, work_ms: float) -> None:
        heapq.heappush(self.running, (self.progress + work_ms, call))

    def next_completion_ms(self) -> float:
        """Return when the next call finishes if no event comes before."""
        if not self.running:
            return math.inf
        remaining = max(0.0, self.running[0][0] - self.progress)
        return self.updated_ms + remaining / self.rate(self.updated_ms)

    def pop_finished(self) -> int:
        """Remove and return the call that finishes first."""
        return heapq.heappop(self.running)[1]


@attrs.define
class RunCounters:
    """Counters of one run.

    Parameters
    ----------
    goodput : Counter
        Requests answered in time, by window of `WINDOW_MS`.
    arrived, succeeded : Counter
        Requests that arrived during the surge, and those of them answered in time, by priority.
    account_goodput, account_arrived : Counter
        The same, by account, second of arrival and priority.
    calm_arrived, calm_goodput : int
        The same, for requests that arrived before the surge.
    wasted : int
        Calls that the server finished after the deadline or after the request was answered.
    """

    goodput: Counter[int] = attrs.Factory(Counter)
    arrived: Counter[Priority] = attrs.Factory(Counter)
    succeeded: Counter[Priority] = attrs.Factory(Counter)
    account_goodput: Counter[tuple[str, int, Priority]] = attrs.Factory(Counter)
    account_arrived: Counter[tuple[str, int, Priority]] = attrs.Factory(Counter)
    calm_arrived: int = 0
    calm_goodput: int = 0
    wasted: int = 0


def make_limiter(name: str) -> Limiter:
    config = LimiterConfig()
    match name:
        case "aimd":
            return AimdLimiter(config, SLOTS)
        case "gradient":
            return GradientLimiter(config, SLOTS)
        case _:
            return FixedLimiter(SLOTS)


@attrs.define
class Simulation:
    """Clients, one gate and one backend server in simulated time."""

    scenario: Scenario
    random: Random = attrs.field(init=False)
    gate: AdmissionGate = attrs.field(init=False)
    chain: ChainLevels = attrs.field(init=False, factory=ChainLevels)
    server: SimulatedServer = attrs.field(init=False)
    counters: RunCounters = attrs.field(init=False, factory=RunCounters)
    events: list[tuple[float, int, Callable[[int], None]]] = attrs.field(init=False, factory=list)
    calls: dict[int, tuple[Request, int]] = attrs.field(init=False, factory=dict)
    sequence: "itertools.count[int]" = attrs.field(init=False, factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.scenario.seed)
        config = AdmissionConfig(newest_first=self.scenario.order is Order.LIFO)
        limiter = make_limiter(self.scenario.limiter)
        self.gate = AdmissionGate(SLOTS, config=config, limiter=limiter)
        self.server = SimulatedServer(self.scenario.slowdown)

    def run(self) -> RunCounters:
        """Run until the end of the simulated time."""
        self.schedule(0, self.tick)
        for account in range(ACCOUNTS):
            self.schedule(0, self.make_arrivals(f"account-{account}"))
        for boundary_ms in (SLOW_FROM_MS, SLOW_UNTIL_MS):
            self.schedule(boundary_ms, lambda now_ms: None)
        while True:
            completion_ms = self.server.next_completion_ms()
            event_ms = self.events[0][0]
            now_ms = min(completion_ms, event_ms)
            if now_ms >= END_MS:
                return self.counters
            self.server.advance(now_ms)
            if completion_ms <= event_ms:
                self.handle_completion(int(now_ms), self.server.pop_finished())
            else:
                heapq.heappop(self.events)[2](int(now_ms))

    def schedule(self, when_ms: float, action: Callable[[int], None]) -> None:
        heapq.heappush(self.events, (when_ms, next(self.sequence), action))

    def tick(self, now_ms: int) -> None:
        self.apply(now_ms, self.gate.tick(now_ms))
        self.schedule(now_ms + TICK_MS, self.tick)

    def make_arrivals(self, account: str) -> Callable[[int], None]:
        """In a surge, `SURGING_ACCOUNT` offers five times as much as each other account."""

        next_ms = 0.0

        def arrive(now_ms: int) -> None:
            nonlocal next_ms
            self.create_request(now_ms, account)
            surge = WARM_UP_MS <= now_ms < WARM_UP_MS + SURGE_MS
            load = self.scenario.load if surge else 1
            share = BASE_LOAD * load * CAPACITY_PER_MS / ACCOUNTS
            if surge and load > 1:
                weight = 5 if account == SURGING_ACCOUNT else 1
                share *= weight * ACCOUNTS / (ACCOUNTS + 4)
            next_ms += self.random.expovariate(share)
            self.schedule(next_ms, arrive)

        return arrive

    def create_request(self, now_ms: int, account: str) -> None:
        priority = self.draw_priority()
        work_ms = self.random.gammavariate(4.0, WORK_MS / 4.0)
        name = f"r{next(self.sequence)}"
        deadline_ms = now_ms + DEADLINE_MS[priority]
        request = Request(name, account, priority, deadline_ms, work_ms, now_ms)
        if WARM_UP_MS <= now_ms < WARM_UP_MS + SURGE_MS:
            self.counters.arrived[priority] += 1
            self.counters.account_arrived[account, now_ms // 1_000, priority] += 1
        elif is_calm(now_ms):
            self.counters.calm_arrived += 1
        self.attempt(now_ms, request)

    def draw_priority(self) -> Priority:
        point = self.random.randrange(100)
        for priority, percent in PRIORITY_MIX:
            if point < percent:
                return priority
            point -= percent
        return Priority.BACKGROUND

    def attempt(self, now_ms: int, request: Request) -> None:
        if request.done or now_ms >= request.deadline_ms:
            return
        request.attempts += 1
        call = next(self.sequence)
        self.calls[call] = (request, now_ms)
        ticket = self.ticket(now_ms, call, request)
        account, priority = self.policy_view(request)
        if self.chain.should_shed(now_ms, ticket.rank, ROUTE, account, priority) is not None:
            self.handle_refusal(now_ms, call)
            return
        represented = self.chain.take_represented(now_ms, ROUTE, account, priority)
        ticket = attrs.evolve(ticket, represented=represented)
        offer = self.gate.offer(now_ms, ticket)
        self.apply(now_ms, list(offer.evicted))
        match offer.verdict:
            case Refusal():
                self.record_level(now_ms, request)
                self.handle_refusal(now_ms, call)
            case Dispatch():
                self.start(now_ms, call)
            case Queued():
                pass

    def ticket(self, now_ms: int, call: int, request: Request) -> Ticket:
        """FIFO and LIFO ignore priority and account."""
        account, priority = self.policy_view(request)
        excess_milli = self.chain.excess_milli(now_ms, account, priority, ROUTE)
        rank = shed_rank(priority, excess_milli, request.name)
        return Ticket(
            call, account, 1, priority, rank, request.deadline_ms, int(WORK_MS), route=ROUTE
        )

    def policy_view(self, request: Request) -> tuple[str, Priority]:
        """Return the account and priority that the policy distinguishes."""
        if self.scenario.order is Order.FAIR:
            return request.account, request.priority
        return "all", Priority.NORMAL

    def record_level(self, now_ms: int, request: Request) -> None:
        """Record the admission level that an answer or a refusal carries to the entry."""
        account, priority = self.policy_view(request)
        levels = (self.gate.level(account, priority),)
        self.chain.note_answer(now_ms, ROUTE, account, priority, levels)

    def apply(self, now_ms: int, actions: list[Dispatch | Refuse] | list[Refuse]) -> None:
        """Carry out the actions that the gate returned."""
        for action in actions:
            call = action.call_id
            assert isinstance(call, int)
            if isinstance(action, Dispatch):
                self.start(now_ms, call)
            else:
                self.handle_refusal(now_ms, call)

    def start(self, now_ms: int, call: int) -> None:
        request, _ = self.calls[call]
        self.calls[call] = (request, now_ms)
        self.server.start(call, request.work_ms)

    def handle_refusal(self, now_ms: int, call: int) -> None:
        """The client retries, ignoring the retry-after value of the refusal."""
        request, _ = self.calls.pop(call)
        if request.attempts < MAX_ATTEMPTS:
            pause_ms = self.random.uniform(0.5, 1.5) * RETRY_DELAY_MS * request.attempts
            self.schedule(now_ms + pause_ms, lambda later_ms: self.attempt(later_ms, request))

    def handle_completion(self, now_ms: int, call: int) -> None:
        request, started_ms = self.calls.pop(call)
        in_time = now_ms <= request.deadline_ms
        outcome = Outcome.SUCCESS if in_time else Outcome.TIMEOUT
        if in_time and not request.done:
            self.count(now_ms, request)
        else:
            self.counters.wasted += 1
        request.done = True
        self.apply(now_ms, self.gate.release(now_ms, call, outcome, now_ms - started_ms))
        self.record_level(now_ms, request)

    def count(self, now_ms: int, request: Request) -> None:
        """Count a request that was answered in time."""
        self.counters.goodput[now_ms // WINDOW_MS] += 1
        self.counters.calm_goodput += int(is_calm(request.arrived_ms))
        if WARM_UP_MS <= request.arrived_ms < WARM_UP_MS + SURGE_MS:
            self.counters.succeeded[request.priority] += 1
            key = (request.account, request.arrived_ms // 1_000, request.priority)
            self.counters.account_goodput[key] += 1
