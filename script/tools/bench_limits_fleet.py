"""Simulated daemons that share account rates by one of three strategies."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from wisteria_core import FailureDomain, VmId, rank_by_rendezvous
from wisteria_limits import (
    AccountBudget,
    AccountRate,
    Admitted,
    BorrowReply,
    Decided,
    LimitsConfig,
    Pending,
    Send,
    SliceId,
    SliceOwner,
    SliceShare,
    slices_for,
)

US_PER_MS = 1_000
US_PER_S = 1_000_000
TICK_US = 20 * US_PER_MS
HOME_TIMEOUT_US = 60 * US_PER_MS
MESSAGE_OVERHEAD_BYTES = 52
REQUEST_BYTES = 40
ITEM_BYTES = 16
REPORT_BYTES = 24
REPLY_BYTES = 24
GRANT_BYTES = 24

DecisionCallback = Callable[[int, bool], None]


@attrs.define
class Traffic:
    """Messages and bytes that one daemon sent."""

    messages: int = 0
    sent_bytes: int = 0

    def add(self, payload_bytes: int) -> None:
        """Count a message with its TCP and IP headers."""
        self.messages += 1
        self.sent_bytes += payload_bytes + MESSAGE_OVERHEAD_BYTES


@attrs.define
class FleetSize:
    """A fleet: failure domains, VMs in each, one-way network delays and accounts."""

    name: str
    domains: int
    vms_per_domain: int
    intra_domain_delay_us: int
    inter_domain_delay_us: int
    accounts: tuple[AccountRate, ...]

    @functools.cached_property
    def vms(self) -> dict[VmId, FailureDomain]:
        return {
            VmId(f"vm-{domain}-{index}"): FailureDomain(f"domain-{domain}")
            for domain in range(self.domains)
            for index in range(self.vms_per_domain)
        }


@attrs.define
class Network:
    """Event queue, network delays and faults of a run, in simulated microseconds."""

    size: FleetSize
    rng: random.Random
    now_us: int = 0
    dead: set[VmId] = attrs.field(factory=set)
    isolated_domain: FailureDomain | None = None
    traffic: dict[VmId, Traffic] = attrs.field(factory=dict)
    _events: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _order: "itertools.count[int]" = attrs.field(factory=itertools.count)

    def schedule(self, time_us: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_us, next(self._order), action))

    def run(self, until_us: int) -> None:
        while self._events and self._events[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self._events)
            action()
        self.now_us = until_us

    def send(self, source: VmId, target: VmId, size_bytes: int, action: Callable[[], None]) -> None:
        """Deliver a message unless its target is dead or a partition separates the VMs."""
        if source == target:
            self.schedule(self.now_us, action)
            return
        self.traffic.setdefault(source, Traffic()).add(size_bytes)
        vms = self.size.vms
        if self.isolated_domain is not None and (vms[source] == self.isolated_domain) != (
            vms[target] == self.isolated_domain
        ):
            return
        delay_us = (
            self.size.intra_domain_delay_us
            if vms[source] == vms[target]
            else self.size.inter_domain_delay_us
        )
        delay_us += self.rng.randrange(US_PER_MS)

        def arrive() -> None:
            if target not in self.dead:
                action()

        self.schedule(self.now_us + delay_us, arrive)


@attrs.define
class Bucket:
    """Token bucket in micro-calls and microseconds."""

    rate: int
    burst: int
    level: int = 0
    updated_us: int = 0

    def take(self, now_us: int) -> bool:
        """Take one call's token if there is one."""
        self.level = min(self.level + (now_us - self.updated_us) * self.rate, self.burst)
        self.updated_us = now_us
        if self.level < US_PER_S:
            return False
        self.level -= US_PER_S
        return True


@attrs.define
class StaticSplit:
    """Each VM holds an equal, fixed part of each account."""

    network: Network
    buckets: dict[tuple[VmId, str], Bucket] = attrs.field(factory=dict)

    def start(self) -> None:
        vms = list(self.network.size.vms)
        for account in self.network.size.accounts:
            for vm in vms:
                burst = account.burst * US_PER_S // len(vms)
                self.buckets[(vm, account.account)] = Bucket(account.rate, burst)

    def arrive(self, vm: VmId, account: str, done: DecisionCallback) -> None:
        """Decide a call at `vm`, whose bucket runs on a clock slowed to its part of the rate."""
        scaled_us = self.network.now_us // len(self.network.size.vms)
        done(self.network.now_us, self.buckets[(vm, account)].take(scaled_us))


@attrs.define
class OneHome:
    """A single VM, the home of an account, decides all calls of the account."""

    network: Network
    buckets: dict[str, Bucket] = attrs.field(factory=dict)

    def start(self) -> None:
        for account in self.network.size.accounts:
            self.buckets[account.account] = Bucket(account.rate, account.burst * US_PER_S)

    def home(self, account: str) -> VmId:
        """Return the VM that decides the calls of an account."""
        return VmId(rank_by_rendezvous(account, self.network.size.vms)[0])

    def arrive(self, vm: VmId, account: str, done: DecisionCallback) -> None:
        """Ask the home of the account; refuse the call if it does not reply in time."""
        network = self.network
        home = self.home(account)
        undecided = [True]

        def finish(admitted: bool) -> None:
            if undecided:
                undecided.clear()
                done(network.now_us, admitted)

        def decide() -> None:
            admitted = self.buckets[account].take(network.now_us)
            network.send(home, vm, REPLY_BYTES, lambda: finish(admitted))

        network.send(vm, home, REQUEST_BYTES, decide)
        network.schedule(network.now_us + HOME_TIMEOUT_US, lambda: finish(False))


@attrs.define
class Lending:
    """Each account is split into slices, whose owners lend tokens to the entry daemons."""

    network: Network
    config: LimitsConfig = attrs.field(factory=LimitsConfig)
    shares: dict[SliceId, SliceShare] = attrs.field(factory=dict)
    owner_of: dict[SliceId, VmId] = attrs.field(factory=dict)
    owners: dict[VmId, SliceOwner] = attrs.field(factory=dict)
    budgets: dict[VmId, AccountBudget] = attrs.field(factory=dict)
    waiting: dict[tuple[VmId, int], DecisionCallback] = attrs.field(factory=dict)
    ticking: set[VmId] = attrs.field(factory=set)
    borrowers: int | None = None

    def start(self) -> None:
        """Set up owners and borrowers, all with empty buckets."""
        vms = self.network.size.vms
        domains = sorted(set(vms.values()))
        for account in self.network.size.accounts:
            self.shares.update(slices_for(account, domains))
        for slice_id in self.shares:
            scope = [vm for vm, domain in vms.items() if domain == slice_id.domain]
            self.owner_of[slice_id] = VmId(rank_by_rendezvous(slice_id.name, scope)[0])
        for vm in vms:
            self.owners[vm] = SliceOwner(self.config)
        for slice_id, vm in self.owner_of.items():
            held = {slice_id: self.shares[slice_id]}
            held.update((other, self.shares[other]) for other in self.owners[vm].held())
            self.owners[vm].configure(0, held)
            self.owners[vm].start(0, slice_id)
        for index, (vm, domain) in enumerate(list(vms.items())[: self.borrowers]):
            self.budgets[vm] = AccountBudget(vm, domain, 1, self.config)
            self.budgets[vm].configure(0, self.network.size.accounts, domains)
            self.budgets[vm].set_owners(self.owner_of)
            self._tick_later(vm, index * TICK_US // len(vms))

    def arrive(self, vm: VmId, account: str, done: DecisionCallback) -> None:
        """Decide a call at `vm`, after a loan if its tokens do not suffice."""
        outcome = self.budgets[vm].admit(self.now_ms, account)
        match outcome:
            case Pending(waiter_id=waiter_id):
                self.waiting[(vm, waiter_id)] = done
                self._tick_soon(vm)
            case _:
                done(self.network.now_us, isinstance(outcome, Admitted))

    def largest_owner(self, account: str) -> VmId:
        """Return the VM that owns most slices of an account."""
        held = [vm for slice_id, vm in self.owner_of.items() if slice_id.account == account]
        return max(sorted(set(held)), key=held.count)

    @property
    def now_ms(self) -> int:
        """Return the clock reading that every VM sees."""
        return self.network.now_us // US_PER_MS

    def _tick_later(self, vm: VmId, time_us: int) -> None:
        def tick() -> None:
            if vm not in self.network.dead:
                self._tick(vm)
                self._tick_later(vm, self.network.now_us + TICK_US)

        self.network.schedule(time_us, tick)

    def _tick_soon(self, vm: VmId) -> None:
        if vm in self.ticking:
            return
        self.ticking.add(vm)

        def tick() -> None:
            self.ticking.discard(vm)
            self._tick(vm)

        self.network.schedule(self.network.now_us, tick)

    def _tick(self, vm: VmId) -> None:
        step = self.budgets[vm].tick(self.now_ms)
        self._complete_waiting(vm, step.decided)
        for send in step.sends:
            self._send(vm, send)

    def _send(self, vm: VmId, send: Send) -> None:
        request = send.request
        size = REQUEST_BYTES + ITEM_BYTES * len(request.items) + REPORT_BYTES * len(request.reports)
        self.network.send(vm, send.vm_id, size, lambda: self._lend(vm, send))

    def _lend(self, vm: VmId, send: Send) -> None:
        reply = self.owners[send.vm_id].answer(self.now_ms, send.request)
        if not reply.grants:
            return
        size = REPLY_BYTES + GRANT_BYTES * len(reply.grants)
        self.network.send(send.vm_id, vm, size, lambda: self._credit(vm, send.vm_id, reply))

    def _credit(self, vm: VmId, owner: VmId, reply: BorrowReply) -> None:
        self._complete_waiting(vm, self.budgets[vm].on_reply(self.now_ms, owner, reply))
        self._tick_soon(vm)

    def _complete_waiting(self, vm: VmId, decided: tuple[Decided, ...]) -> None:
        for item in decided:
            done = self.waiting.pop((vm, item.waiter_id))
            done(self.network.now_us, isinstance(item.outcome, Admitted))


SharingStrategy = StaticSplit | OneHome | Lending
