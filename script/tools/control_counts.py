"""Counts of control-plane work at the target size, from simulated nodes and timed calls."""

import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import attrs
from rich.console import Console
from script.tools.control_domain import count_domain
from script.tools.control_target import (
    DOMAINS,
    VMS,
    domains_of,
    make_list,
    make_slots,
    make_vm,
    size_on_link,
)

from wisteria_admission import AdmissionConfig, AdmissionGate
from wisteria_config.dissemination import Disseminator
from wisteria_core import (
    Clock,
    FailureDomain,
    Refusal,
    VmId,
    VmList,
    rank_by_rendezvous,
)
from wisteria_limits import (
    AccountBudget,
    AccountRate,
    LimitsConfig,
    SliceOwner,
    slices_for,
)
from wisteria_ownership import Ownership, OwnershipConfig
from wisteria_standins.platform import render_vms
from wisteriaproxy.audit import AuditTrail
from wisteriaproxy.configuration import TICK_MS as CONFIG_TICK_MS
from wisteriaproxy.fleet import FleetView
from wisteriaproxy.platform import parse_vms
from wisteriaproxy.rates import TICK_MS as RATE_TICK_MS
from wisteriaproxy.rates import AccountRateLimiter
from wisteriaproxy.serving import TICK_MS
from wisteriaproxy.slots import TICK_MS as SLOT_TICK_MS
from wisteriaproxy.slots import (
    SlotTable,
    rate_slot,
)

ACCOUNTS = (8, 80)
ACTIVE_ACCOUNTS = (1, 8, 40)
FLEET_CALLS_PER_S = 310_000
CALLS_PER_S = 115
LENDING_WARM_UP_MS = 3_000
LENDING_MS = 10_000
TIMED_TICKS = 2_000
MS_PER_S = 1_000
BYTES_PER_MB = 1_048_576

Row = tuple[str, str, str]


def count_all(console: Console, seed: int) -> None:
    """`seed` is only printed, as nothing is random."""
    console.print(f"simulated nodes and timed calls, seed {seed}")
    counts: list[Callable[[], list[Row]]] = [count_list]
    counts += [partial(count_lending, number) for number in ACTIVE_ACCOUNTS]
    by_accounts: tuple[Callable[[int], list[Row]], ...] = (count_ticks, count_memory, count_apply)
    for count in by_accounts:
        counts += [partial(count, number) for number in ACCOUNTS]
    counts.append(partial(count_domain, ACCOUNTS[0]))
    for count_one in counts:
        for what, value, unit in count_one():
            console.print(f"  {what}: {value} {unit}".rstrip(), highlight=False)


def count_list() -> list[Row]:
    """Return the size of the VM list, and the time to parse it."""
    raw = render_vms(make_list(1))
    elapsed_ms = time_ms(lambda: parse_vms(raw))
    return [
        (f"list of {VMS} VMs", f"{len(raw):,}", "B"),
        (f"parse the list of {VMS} VMs", f"{elapsed_ms:.0f}", "ms"),
    ]


def count_lending(accounts: int) -> list[Row]:
    """Return the traffic between one entry daemon and its lenders."""
    vm_list = make_list(1)
    domains = domains_of(vm_list)
    members = {d: [vm.vm_id for vm in vm_list if vm.failure_domain == d] for d in domains}
    rate = FLEET_CALLS_PER_S // accounts
    rates = [AccountRate(f"account-{n:03d}", rate, rate) for n in range(accounts)]
    shares = {key: share for one in rates for key, share in slices_for(one, domains).items()}
    owners = {
        one: VmId(rank_by_rendezvous(rate_slot(one).key, members[one.domain])[0]) for one in shares
    }
    lenders = {vm_id: SliceOwner(LimitsConfig()) for vm_id in set(owners.values())}
    for lender in lenders.values():
        lender.configure(0, shares)
    for one, vm_id in owners.items():
        lenders[vm_id].start(0, one, None)
    own_vm = vm_list.vms[0]
    budget = AccountBudget(own_vm.vm_id, own_vm.failure_domain, 1, LimitsConfig())
    budget.configure(0, rates, domains)
    budget.set_owners(owners)
    sent, refused = Counter[str](), 0
    partners: set[VmId] = set()
    started = time.process_time()
    for now_ms in range(0, LENDING_WARM_UP_MS + LENDING_MS, RATE_TICK_MS):
        if now_ms == LENDING_WARM_UP_MS:
            sent.clear()
            partners.clear()
            refused, started = 0, time.process_time()
        for number in range(_calls_until(now_ms) - _calls_until(now_ms - RATE_TICK_MS)):
            account = rates[(_calls_until(now_ms) + number) % accounts].account
            refused += isinstance(budget.admit(now_ms, account), Refusal)
        for action in budget.tick(now_ms).sends:
            reply = lenders[action.vm_id].answer(now_ms, action.request)
            partners.add(action.vm_id)
            sent["messages"] += 1
            sent["request"] += size_on_link(action.request)
            if reply.grants:
                sent["reply"] += size_on_link(reply)
                budget.on_reply(now_ms, action.vm_id, reply)
    cpu_percent = 100 * MS_PER_S * (time.process_time() - started) / LENDING_MS
    label = f"lending: {CALLS_PER_S} calls/s over {accounts} accounts"
    seconds = LENDING_MS / MS_PER_S
    return [
        (f"{label}: requests", f"{sent['messages'] / seconds:.1f}", "/s"),
        (f"{label}: requests, replies", _per_s(sent, seconds), "B/s"),
        (f"{label}: lenders asked, refused", f"{len(partners)}, {refused}", ""),
        (
            f"{label}: processor time, lenders' and encoding included",
            f"{cpu_percent:.2f}",
            "% of a core",
        ),
    ]


def _per_s(sent: Counter[str], seconds: float) -> str:
    return f"{sent['request'] / seconds:.0f}, {sent['reply'] / seconds:.0f}"


def _calls_until(now_ms: int) -> int:
    return CALLS_PER_S * now_ms // MS_PER_S


def count_ticks(accounts: int) -> list[Row]:
    """Return the processor time of the timers of an idle daemon."""
    rates = _make_rates(make_list(1, DOMAINS), accounts)
    rates.budget.configure(0, _list_rates(accounts), ())
    gate = AdmissionGate(50, "service-000", VmId("vm-00000"), AdmissionConfig())
    config = Disseminator(VmId("vm-00000"), FailureDomain("domain-00"), 1)
    timers: tuple[tuple[str, int, Callable[[int], object]], ...] = (
        ("rates", 1_000 // RATE_TICK_MS, rates.budget.tick),
        ("gate", 1_000 // TICK_MS, gate.tick),
        ("ownership", 1_000 // SLOT_TICK_MS, rates.slots.ownership.tick),
        ("dissemination", 1_000 // CONFIG_TICK_MS, config.tick),
    )
    rows = []
    for name, per_s, tick in timers:
        elapsed_ms = time_ms(lambda tick=tick: [tick(now) for now in range(TIMED_TICKS)])  # type: ignore[misc]
        percent = elapsed_ms / TIMED_TICKS * per_s / 10
        rows.append(
            (f"timer of {name}, {accounts} accounts, {per_s}/s", f"{percent:.3f}", "% of a core")
        )
    return rows


def _list_rates(accounts: int) -> list[AccountRate]:
    return [AccountRate(f"account-{number:03d}", 100, 100) for number in range(accounts)]


@attrs.frozen
class ApplyTimes:
    """Processor times that one daemon spends on a new list or document, in milliseconds."""

    slots: int
    parse_ms: float
    first_wanted_ms: float
    wanted_ms: float
    ownership_ms: float
    rates_ms: float
    load_balancers_ms: float
    dissemination_ms: float

    @property
    def list_ms(self) -> float:
        """Return the processor time for one version of the list."""
        list_only_ms = (
            self.parse_ms + self.ownership_ms + self.load_balancers_ms + self.dissemination_ms
        )
        return list_only_ms + self.document_ms

    @property
    def document_ms(self) -> float:
        """Return the processor time for one version of the document, without its validation."""
        return self.wanted_ms + self.rates_ms


def time_apply(accounts: int) -> ApplyTimes:
    """Measure the processor times for a new list or document at the target size."""
    vm_list = make_list(1)
    raw = render_vms(vm_list)
    slots = make_slots(vm_list, accounts)
    own_vm = vm_list.vms[0]
    node = Ownership(own_vm.vm_id, 1, 0, OwnershipConfig())
    node.update_list(0, vm_list)
    later = VmList(2, (*vm_list.vms[:-1], make_vm(VMS)))
    rates = _make_rates(vm_list, accounts)
    view = FleetView(own_vm.failure_domain, Random(1), Clock(), _always, _always)
    config = Disseminator(own_vm.vm_id, own_vm.failure_domain, 1)
    return ApplyTimes(
        slots=len(slots),
        parse_ms=time_ms(lambda: parse_vms(raw)),
        first_wanted_ms=time_ms(lambda: node.set_wanted(0, slots)),
        wanted_ms=time_ms(lambda: node.set_wanted(0, slots)),
        ownership_ms=time_ms(lambda: node.update_list(0, later)),
        rates_ms=time_ms(rates.refresh_owners),
        load_balancers_ms=time_ms(lambda: view.apply_list(vm_list)),
        dissemination_ms=time_ms(lambda: config.handle_vm_list(vm_list, 0)),
    )


def count_apply(accounts: int) -> list[Row]:
    """Return the processor times for a new list or document."""
    times = time_apply(accounts)
    label = f"{accounts} accounts, {times.slots:,} slots"
    named = (
        ("ownership: first set of slots", times.first_wanted_ms),
        ("ownership: same set again", times.wanted_ms),
        ("ownership: list with one VM in another's place", times.ownership_ms),
        ("rates: owners of the slices", times.rates_ms),
        ("choosers: a new list", times.load_balancers_ms),
        ("dissemination: a new list", times.dissemination_ms),
        ("total for a version of the list", times.list_ms),
        ("total for a version of the document, without validation", times.document_ms),
    )
    return [(f"{name} ({label})", f"{elapsed_ms:.0f}", "ms") for name, elapsed_ms in named]


def count_memory(accounts: int) -> list[Row]:
    """Return the memory of the state of one daemon at the target size."""
    tracemalloc.start()
    parsed = parse_vms(render_vms(make_list(1)))
    assert isinstance(parsed, VmList)
    steps = [("list of VMs", tracemalloc.get_traced_memory()[0])]
    view = FleetView(parsed.vms[0].failure_domain, Random(1), Clock(), _always, _always)
    view.apply_list(parsed)
    steps.append(("choosers", tracemalloc.get_traced_memory()[0]))
    node = Ownership(parsed.vms[0].vm_id, 1, 0, OwnershipConfig())
    node.update_list(0, parsed)
    node.set_wanted(0, make_slots(parsed, accounts))
    steps.append((f"slots, {accounts} accounts", tracemalloc.get_traced_memory()[0]))
    tracemalloc.stop()
    sizes = [
        total - before
        for (_, total), before in zip(steps, (0, *(t for _, t in steps)), strict=False)
    ]
    return [
        (f"memory: {name}", f"{size / BYTES_PER_MB:.1f}", "MB")
        for (name, _), size in zip(steps, sizes, strict=True)
    ]


def _always(_vm_id: VmId) -> bool:
    return True


def _make_rates(vm_list: VmList, accounts: int) -> AccountRateLimiter:
    """Return the rate limiter of one daemon, before `refresh_owners`."""
    own_vm, clock = vm_list.vms[0], Clock()
    limits = LimitsConfig()
    table = SlotTable(
        Ownership(own_vm.vm_id, 1, 0, OwnershipConfig()),
        clock,
        AuditTrail(),
        lambda _vm, _msg: None,
    )
    table.apply_list(vm_list)
    rates = AccountRateLimiter(
        AccountBudget(own_vm.vm_id, own_vm.failure_domain, 1, limits),
        SliceOwner(limits),
        clock,
        lambda _vm, _msg: None,
        table,
    )
    for number in range(accounts + 1):
        rate = AccountRate(f"account-{number:03d}", 100, 100)
        rates.shares.update(slices_for(rate, domains_of(vm_list)))
    return rates


def time_ms(operation: Callable[[], object]) -> float:
    started = time.process_time()
    operation()
    return MS_PER_S * (time.process_time() - started)
