"""Counts of control work at the target's size, from pure nodes and single calls of the daemon."""

import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

import attrs
from rich.console import Console
from rich.table import Table
from script.tools.control_fleet import FRAME_HEADER_BYTES, TLS_RECORD_BYTES

from wisteria_config.dissemination import Disseminator
from wisteria_core import (
    Clock,
    FailureDomain,
    Refusal,
    Vm,
    VmId,
    VmList,
    rank_by_rendezvous,
)
from wisteria_limits import (
    AccountBudget,
    AccountRate,
    LimitsConfig,
    SliceId,
    SliceOwner,
    slices_for,
)
from wisteria_ownership import Action, Ownership, OwnershipConfig, Send, SlotId
from wisteria_standins.platform import render_vms
from wisteriaproxy.audit import AuditTrail
from wisteriaproxy.control import encode_control
from wisteriaproxy.fleet import FleetView
from wisteriaproxy.platform import parse_vms
from wisteriaproxy.rates import Rates
from wisteriaproxy.slots import (
    LEDGER_SLOTS_PER_SERVICE,
    SlotTable,
    domains_of,
    ledger_slot,
    rate_slot,
)

VMS = 2_700
DOMAINS = 11
SERVICES = 370
ACCOUNTS = (8, 80)
ACTIVE_ACCOUNTS = (1, 8, 40)
FLEET_CALLS_PER_S = 310_000
CALLS_PER_S = 115
RATE_TICK_MS = 20
LENDING_WARM_UP_MS = 3_000
LENDING_MS = 10_000
STEP_MS = 200
LATENCY_STEPS = 1
SETTLE_LIMIT_MS = 30_000
MS_PER_S = 1_000
BYTES_PER_MB = 1_048_576


def make_list(version: int, vms: int = VMS) -> VmList:
    """Return a list of VMs spread over the failure domains and services."""
    return VmList(version, tuple(make_vm(number) for number in range(vms)))


def make_vm(number: int) -> Vm:
    """Return the VM of a number."""
    host = f"10.{number % DOMAINS}.{number // 250 % 250}.{number % 250}"
    domain = FailureDomain(f"domain-{number % DOMAINS:02d}")
    service = f"service-{number % SERVICES:03d}"
    return Vm(VmId(f"vm-{number:05d}"), host, 7_000, 8_000, domain, service)


def make_slots(vm_list: VmList, accounts: int) -> list[SlotId]:
    """Return every slot of a configuration, as the daemon lists them."""
    domains = domains_of(vm_list)
    shares: dict[SliceId, object] = {}
    for number in range(accounts + 1):
        shares.update(slices_for(AccountRate(f"account-{number:03d}", 100, 100), domains))
    slots = [rate_slot(slice_id) for slice_id in shares]
    services = sorted({vm.service for vm in vm_list})
    return slots + [
        ledger_slot(service, index)
        for service in services
        for index in range(LEDGER_SLOTS_PER_SERVICE)
    ]


@attrs.define(eq=False)
class Domain:
    """The daemons of one failure domain of the whole fleet, on one simulated clock."""

    vm_list: VmList
    slots: list[SlotId]
    now_ms: int = 0
    nodes: dict[VmId, Ownership] = attrs.field(factory=dict)
    incarnations: dict[VmId, int] = attrs.field(factory=dict)
    sent: Counter[str] = attrs.field(factory=Counter)
    sent_bytes: Counter[str] = attrs.field(factory=Counter)
    by_vm: Counter[VmId] = attrs.field(factory=Counter)
    busy_s: Counter[VmId] = attrs.field(factory=Counter)
    _mail: list[tuple[VmId, VmId, int, object]] = attrs.field(factory=list)

    def start(self, vm_id: VmId) -> None:
        """Start a process; an earlier one of the VM is gone without a farewell."""
        self.incarnations[vm_id] = self.incarnations.get(vm_id, 0) + 1
        node = Ownership(vm_id, self.incarnations[vm_id], self.now_ms, OwnershipConfig())
        self.nodes[vm_id] = node
        self._run(vm_id, lambda: node.update_list(self.now_ms, self.vm_list))
        self._run(vm_id, lambda: node.set_wanted(self.now_ms, self.slots))

    def publish(self, vm_list: VmList) -> None:
        """Let every node read a new list."""
        self.vm_list = vm_list
        for vm_id, node in self.nodes.items():
            self._run(vm_id, lambda node=node: node.update_list(self.now_ms, vm_list))  # type: ignore[misc]

    def settle(self, wanted: int) -> int:
        """Run until `wanted` slots are held; return the time that it took, in ms."""
        started_ms = self.now_ms
        while self.count_held() < wanted and self.now_ms - started_ms < SETTLE_LIMIT_MS:
            self.step()
        return self.now_ms - started_ms

    def count_held(self) -> int:
        """Return the slots that some node holds."""
        return sum(len(node.held_slots()) for node in self.nodes.values())

    def step(self) -> None:
        """Deliver what was sent in the step before, then let every node do what is due."""
        self.now_ms += STEP_MS
        mail, self._mail = self._mail, []
        for sender, recipient, incarnation, message in mail:
            node = self.nodes.get(recipient)
            if node is not None:
                self._run(
                    recipient,
                    lambda n=node, s=sender, i=incarnation, m=message: n.handle(  # type: ignore[misc]
                        self.now_ms, s, i, m
                    ),
                )
        for vm_id, node in self.nodes.items():
            self._run(vm_id, lambda node=node: node.tick(self.now_ms))  # type: ignore[misc]

    def clear_counts(self) -> None:
        """Begin to count anew."""
        for counter in (self.sent, self.sent_bytes, self.by_vm, self.busy_s):
            counter.clear()

    def _run(self, vm_id: VmId, act: Callable[[], Sequence[Action]]) -> None:
        started = time.perf_counter()
        actions = act()
        self.busy_s[vm_id] += time.perf_counter() - started  # type: ignore[assignment]
        for action in actions:
            if isinstance(action, Send):
                self._send(vm_id, action)

    def _send(self, vm_id: VmId, action: Send) -> None:
        size = size_on_link(action.message)
        name = type(action.message).__name__
        self.sent[name] += 1
        self.sent_bytes[name] += size
        self.by_vm[vm_id] += size
        self._mail.append((vm_id, action.vm_id, self.incarnations[vm_id], action.message))


def size_on_link(message: object) -> int:
    """Return the bytes of a control message with frame header and TLS record."""
    return len(encode_control(message)) + FRAME_HEADER_BYTES + TLS_RECORD_BYTES


def count_all(console: Console, seed: int) -> None:
    """Print the counts; `seed` is named for the record, nothing here is drawn at random."""
    table = Table(title=f"pure nodes and single calls, seed {seed}", title_justify="left")
    for name in ("what", "value", "unit"):
        table.add_column(name)
    lending = [row for number in ACTIVE_ACCOUNTS for row in count_lending(number)]
    for row in (*count_list(), *lending):
        table.add_row(*row)
    for accounts in ACCOUNTS:
        for row in (*count_memory(accounts), *count_apply(accounts), *count_domain(accounts)):
            table.add_row(*row)
    console.print(table)


def count_list() -> list[tuple[str, str, str]]:
    """Return the size of the list of VMs, and the time to read it."""
    raw = render_vms(make_list(1))
    took_ms = time_ms(lambda: parse_vms(raw))
    return [
        (f"list of {VMS} VMs", f"{len(raw):,}", "B"),
        (f"parse the list of {VMS} VMs", f"{took_ms:.0f}", "ms"),
    ]


def count_lending(accounts: int) -> list[tuple[str, str, str]]:
    """Return what one entry daemon and its lenders send for calls spread over some accounts."""
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
    own = vm_list.vms[0]
    budget = AccountBudget(own.vm_id, own.failure_domain, 1, LimitsConfig())
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
        for number in range(_calls_by(now_ms) - _calls_by(now_ms - RATE_TICK_MS)):
            account = rates[(_calls_by(now_ms) + number) % accounts].account
            refused += isinstance(budget.admit(now_ms, account), Refusal)
        for action in budget.tick(now_ms).sends:
            reply = lenders[action.vm_id].answer(now_ms, action.request)
            partners.add(action.vm_id)
            sent["messages"] += 1
            sent["request"] += size_on_link(action.request)
            if reply.grants:
                sent["reply"] += size_on_link(reply)
                budget.on_reply(now_ms, action.vm_id, reply)
    cpu = 100 * MS_PER_S * (time.process_time() - started) / LENDING_MS
    label = f"lending: {CALLS_PER_S} calls/s over {accounts} accounts"
    seconds = LENDING_MS / MS_PER_S
    return [
        (f"{label}: requests", f"{sent['messages'] / seconds:.1f}", "/s"),
        (f"{label}: requests, replies", _per_s(sent, seconds), "B/s"),
        (f"{label}: lenders asked, refused", f"{len(partners)}, {refused}", ""),
        (f"{label}: processor time, lenders' and encoding included", f"{cpu:.2f}", "% of a core"),
    ]


def _per_s(sent: Counter[str], seconds: float) -> str:
    return f"{sent['request'] / seconds:.0f}, {sent['reply'] / seconds:.0f}"


def _calls_by(now_ms: int) -> int:
    return CALLS_PER_S * now_ms // MS_PER_S


def count_apply(accounts: int) -> list[tuple[str, str, str]]:
    """Return the times of what a new list or document costs one daemon."""
    vm_list = make_list(1)
    slots = make_slots(vm_list, accounts)
    node = Ownership(VmId("vm-00000"), 1, 0, OwnershipConfig())
    first_ms = time_ms(lambda: node.update_list(0, vm_list))
    wanted_ms = time_ms(lambda: node.set_wanted(0, slots))
    again_ms = time_ms(lambda: node.set_wanted(0, slots))
    later = VmList(2, (*vm_list.vms[:-1], make_vm(VMS)))
    list_ms = time_ms(lambda: node.update_list(0, later))
    owners_ms = time_ms(_make_rates(vm_list, accounts).refresh_owners)
    view = FleetView(vm_list.vms[0].failure_domain, Random(1), Clock(), _always, _always)
    view_ms = time_ms(lambda: view.apply_list(vm_list))
    config = Disseminator(VmId("vm-00000"), vm_list.vms[0].failure_domain, 1)
    config_ms = time_ms(lambda: config.handle_vm_list(vm_list, 0))
    label = f"{accounts} accounts, {len(slots):,} slots"
    return [
        (f"ownership: first list ({label})", f"{first_ms:.0f}", "ms"),
        (f"ownership: first set of slots ({label})", f"{wanted_ms:.0f}", "ms"),
        (f"ownership: same set again ({label})", f"{again_ms:.0f}", "ms"),
        (f"ownership: list with one VM in another's place ({label})", f"{list_ms:.0f}", "ms"),
        (f"rates: owners of the slices ({label})", f"{owners_ms:.0f}", "ms"),
        ("choosers: a new list", f"{view_ms:.0f}", "ms"),
        ("dissemination: a new list", f"{config_ms:.0f}", "ms"),
    ]


def count_memory(accounts: int) -> list[tuple[str, str, str]]:
    """Return the memory that the state of one daemon takes at the target's size."""
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


def _make_rates(vm_list: VmList, accounts: int) -> Rates:
    """Return the rates of one daemon, with its owners not yet worked out."""
    own, clock = vm_list.vms[0], Clock()
    limits = LimitsConfig()
    table = SlotTable(
        Ownership(own.vm_id, 1, 0, OwnershipConfig()), clock, AuditTrail(), lambda _vm, _msg: None
    )
    table.apply_list(vm_list)
    rates = Rates(
        AccountBudget(own.vm_id, own.failure_domain, 1, limits),
        SliceOwner(limits),
        clock,
        lambda _vm, _msg: None,
        table,
    )
    for number in range(accounts + 1):
        rate = AccountRate(f"account-{number:03d}", 100, 100)
        rates.shares.update(slices_for(rate, domains_of(vm_list)))
    return rates


def count_domain(accounts: int) -> list[tuple[str, str, str]]:
    """Return what ownership costs the daemons of one failure domain."""
    whole = make_list(1)
    own = whole.vms[0].failure_domain
    slots = [s for s in make_slots(whole, accounts) if s.scope.name == own]
    domain = Domain(whole, slots)
    members = [vm.vm_id for vm in whole if vm.failure_domain == own]
    for vm_id in members:
        domain.start(vm_id)
    label = f"{len(members)} VMs of a domain, {accounts} accounts, {len(slots)} slots"
    rows = _report(domain, f"cold start ({label})", domain.settle(len(slots)))
    domain.clear_counts()
    idle_ms = sum(_step_for(domain) for _ in range(10 * MS_PER_S // STEP_MS))
    rows += _report(domain, f"idle for 10 s ({label})", idle_ms)
    owner = next(vm_id for vm_id in members if domain.nodes[vm_id].held_slots())
    domain.clear_counts()
    domain.start(owner)
    rows += _report(domain, f"restart of an owner ({label})", domain.settle(len(slots)))
    domain.clear_counts()
    del domain.nodes[owner]
    domain.publish(VmList(2, tuple(vm for vm in whole if vm.vm_id != owner)))
    rows += _report(domain, f"loss of an owner ({label})", domain.settle(len(slots)))
    return rows


def _step_for(domain: Domain) -> int:
    domain.step()
    return STEP_MS


def _report(domain: Domain, label: str, took_ms: int) -> list[tuple[str, str, str]]:
    count = max(len(domain.nodes), 1)
    total = domain.sent_bytes.total()
    kinds = ", ".join(f"{name} {number:,}" for name, number in sorted(domain.sent.items()))
    worst = max(domain.by_vm.values(), default=0)
    busy_ms = MS_PER_S * max(domain.busy_s.values(), default=0.0)
    return [
        (f"{label}: messages", kinds or "none", ""),
        (f"{label}: bytes a VM, most of one", f"{total // count:,}, {worst:,}", "B"),
        (f"{label}: time, most processor time of one", f"{took_ms}, {busy_ms:.0f}", "ms"),
    ]


def time_ms(act: Callable[[], object]) -> float:
    """Return the processor time of a call, in milliseconds."""
    started = time.process_time()
    act()
    return MS_PER_S * (time.process_time() - started)
