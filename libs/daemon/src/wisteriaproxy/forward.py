"""Forwards a call to a serving daemon and retries on another where allowed."""

import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

import anyio
import attrs

from wisteria_admission import RANKS_PER_PRIORITY, AdmissionLevel
from wisteria_core import Clock, Refusal, ResultCode, RunState, Vm, VmId
from wisteria_routing import (
    Attempt,
    CallOutcome,
    GiveUp,
    LoadBalancer,
    Retry,
    RetryAllowance,
    RetryBudget,
    ServerLoad,
    decide_retry,
    merge_run_states,
)
from wisteria_wire import AnswerHead, CallHead, Link, LinkPool

from .answers import head_to_refusal, refusal_to_head
from .const import ATTR_REQUEST_ID
from .fleet import FleetView
from .metrics import MISDIRECTED_CALLS, RETRIES, Counts
from .responders import LocalCall, Reply

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_RETRIED_STATUSES = frozenset({500, 502, 503, 504})
LOCAL_WINDOW_BYTES = 262_144

NO_VM = Refusal(ResultCode.NO_BACKEND_SERVER, "no VM runs the service")
PROCESS_REPLACED = Refusal(
    ResultCode.BACKEND_SERVER_LEAVING, "the VM no longer runs the process", RunState.NOT_RUN
)


class PeerObserver(Protocol):
    """Receives what calls reveal about the daemons they were sent to."""

    def note_call(self, vm_id: VmId, *, was_reached: bool) -> None:
        """Record whether a call reached the daemon."""

    def note_leaving(self, vm_id: VmId, is_leaving: bool) -> None:
        """Record the leaving flag of a VM's answer."""

    def note_server_leaving(self, vm: Vm) -> None:
        """Record that the answer of a VM says that its backend server is leaving."""


BeforeSend = Callable[[], Refusal | None]


def describe_destination(vm_id: VmId, vm: Vm | None) -> str:
    """Return where an attempt goes, for logs: VM, service and process of its backend server."""
    return f"{vm_id}/{vm.service}/{vm.instance}" if vm is not None else f"{vm_id}/unknown"


@attrs.define(eq=False)
class ForwardResult:
    """The outcome of a forwarded call.

    Parameters
    ----------
    head : AnswerHead
        Head of the backend server's answer, or of the final refusal.
    reply : Reply or None
        Source of the body; None for a refusal.
    vm_id : VmId or None
        VM that answered.
    instance : str
        Backend server process that the call was sent to; empty if the list names none.
    retries : int
        Number of retries in the whole chain of calls.
    """

    head: AnswerHead
    reply: Reply | None
    vm_id: VmId | None
    retries: int = 0
    instance: str = ""


@attrs.define(eq=False)
class Forwarder:
    """Sends each attempt of a call to a chosen VM and decides on retries.

    Parameters
    ----------
    serve_locally : callable
        Starts the serving side of this daemon for a local call.
    """

    fleet: FleetView
    peers: PeerObserver
    links: LinkPool
    clock: Clock
    random: Random
    own_vm: VmId
    serve_locally: Callable[[LocalCall, CallHead], None]
    retry_counts: Counts = attrs.field(factory=lambda: Counts(RETRIES))
    misdirected: Counts = attrs.field(factory=lambda: Counts(MISDIRECTED_CALLS))

    async def forward(
        self,
        head: CallHead,
        deadline_at_ms: int,
        allowance: RetryAllowance,
        prefer: VmId | None = None,
        exclude: frozenset[VmId] = frozenset(),
        before_send: BeforeSend | None = None,
        sent: list[str] | None = None,
    ) -> ForwardResult:
        """Send a call, with retries, until it is answered or refused for good.

        Parameters
        ----------
        allowance : RetryAllowance
            Retries available to this call; each attempt borrows a share.
        prefer : VmId, optional
            VM for the first attempt.
        exclude : frozenset of VmId
            VMs that must not be tried.
        before_send : callable, optional
            Called right before the first byte is sent. If it returns a refusal, nothing is sent.
        sent : list of str, optional
            Receives the destination of each attempt; see `describe_destination`.
        """
        budget = self.fleet.find_budget(head.service)
        if budget is None or self.fleet.find_load_balancer(head.service) is None:
            return ForwardResult(refusal_to_head(NO_VM), None, None)
        budget.note_call()
        run = _AttemptLoop(self, head, deadline_at_ms, allowance, budget, prefer)
        run.tried = exclude
        run.before_send = before_send
        run.sent = sent if sent is not None else []
        return await run.run_attempts()

    async def send(self, vm_id: VmId, head: CallHead) -> Reply | Refusal:
        """Send a call for any process of a VM, which may be this VM."""
        if vm_id == self.own_vm:
            return self._start_locally(head)
        vm = self.fleet.find_vm(vm_id)
        if vm is None:
            return Refusal(ResultCode.LINK_LOST, "the VM is gone", RunState.NOT_RUN)
        link = await self._obtain_link(vm)
        return link if isinstance(link, Refusal) else link.send_call(head)

    async def send_to_server(
        self, vm: Vm, head: CallHead, before_send: BeforeSend | None = None
    ) -> Reply | Refusal:
        """Send one attempt for the backend server that the list named on a VM.

        Nothing is sent if the list has changed meanwhile and names another process or service.
        """
        is_local = vm.vm_id == self.own_vm
        link = None if is_local else await self._obtain_link(vm)
        if isinstance(link, Refusal):
            return link
        if not self.fleet.lists_server(vm):
            return PROCESS_REPLACED
        refusal = before_send() if before_send is not None else None
        if refusal is not None:
            return refusal
        return self._start_locally(head) if link is None else link.send_call(head)

    def note_misdirected(self, head: CallHead, vm: Vm) -> None:
        """Count and log a call that was not sent because its VM no longer runs the process."""
        self.misdirected.add(("entry",))
        extra = {
            ATTR_REQUEST_ID: head.request_id,
            "service": head.service,
            "instance": vm.instance,
            "vm": vm.vm_id,
        }
        _LOGGER.info("call_not_sent", extra=extra)

    def _start_locally(self, head: CallHead) -> LocalCall:
        local = LocalCall(LOCAL_WINDOW_BYTES)
        self.serve_locally(local, head)
        return local

    async def _obtain_link(self, vm: Vm) -> Link | Refusal:
        return self.links.find(vm.vm_id) or await self.links.obtain(vm)


@attrs.frozen
class _Target:
    """Backend server for one attempt, and the load balancer that chose it."""

    vm: Vm
    load_balancer: LoadBalancer


@attrs.define(eq=False)
class _AttemptLoop:
    """Attempts of one call."""

    forwarder: Forwarder
    head: CallHead
    deadline_at_ms: int
    allowance: RetryAllowance
    budget: RetryBudget
    prefer: VmId | None
    number: int = 0
    retries: int = 0
    moves: int = 0
    earlier: RunState = RunState.NOT_RUN
    tried: frozenset[VmId] = frozenset()
    before_send: BeforeSend | None = None
    sent: list[str] = attrs.field(factory=list)

    async def run_attempts(self) -> ForwardResult:
        """Make attempts until one is final."""
        while True:
            self.number += 1
            target = self._choose()
            if isinstance(target, Refusal):
                return self._refuse(attrs.evolve(target, run_state=self.earlier))
            self.tried |= {target.vm.vm_id}
            forwarded = await self._attempt(target)
            failure = _find_failure(forwarded.head)
            if failure is None:
                return forwarded
            decision = self._decide(failure)
            if isinstance(decision, GiveUp):
                return self._give_up(forwarded, decision.refusal)
            if forwarded.reply is not None:
                forwarded.reply.cancel()
            self.earlier = merge_run_states(self.earlier, failure.run_state)
            if decision.is_move:
                self.moves += 1
                continue
            self.retries += 1
            self.forwarder.retry_counts.add((self.head.service,))
            await anyio.sleep(decision.delay_ms / _MS_PER_S)

    @property
    def _attempt_id(self) -> tuple[int, int]:
        """Key among all attempts that borrow from the retry allowance."""
        return id(self), self.number

    def _choose(self) -> _Target | Refusal:
        """Return a backend server of the service by the list that is current now."""
        fleet, service = self.forwarder.fleet, self.head.service
        load_balancer = fleet.find_load_balancer(service)
        if load_balancer is None:
            return NO_VM
        if self.prefer is not None and self.prefer not in self.tried:
            preferred = fleet.find_server(self.prefer, service)
            if preferred is not None:
                return _Target(preferred, load_balancer)
        now_ms = self.forwarder.clock.now_ms()
        left_ms = self.deadline_at_ms - now_ms
        chosen = load_balancer.choose(now_ms, self.tried, self.head.route_id, left_ms)
        if isinstance(chosen, Refusal):
            return chosen
        vm = fleet.find_server(chosen, service)
        return _Target(vm, load_balancer) if vm is not None else NO_VM

    async def _attempt(self, target: _Target) -> ForwardResult:
        vm, load_balancer = target.vm, target.load_balancer
        clock = self.forwarder.clock
        sent_at_ms = clock.now_ms()
        lent = self.allowance.lend(self._attempt_id)
        self.sent.append(describe_destination(vm.vm_id, vm))
        head = self.head.for_attempt(
            allowance=lent,
            remaining_ms=self.deadline_at_ms - sent_at_ms,
            instance=vm.instance,
        )
        load_balancer.note_sent(sent_at_ms, vm.vm_id)
        outcome = CallOutcome.CANCELLED
        load: ServerLoad | None = None
        reply: Reply | Refusal | None = None
        try:
            reply = await self.forwarder.send_to_server(vm, head, self.before_send)
            answer = reply if isinstance(reply, Refusal) else await reply.wait_answer()
            if isinstance(answer, Refusal):
                outcome = self._note_not_answered(vm, answer)
                self._settle_lost(answer, lent)
                return ForwardResult(
                    refusal_to_head(answer), None, vm.vm_id, self.retries, vm.instance
                )
            outcome = _classify_answer(answer)
            self.forwarder.peers.note_leaving(vm.vm_id, answer.leaving)
            if answer.server_leaving:
                self.forwarder.peers.note_server_leaving(vm)
            self.forwarder.peers.note_call(vm.vm_id, was_reached=True)
            load = ServerLoad(answer.in_flight, 0, answer.limit)
            self.allowance.settle(self._attempt_id, lent - answer.spent)
            self.retries += answer.spent
            assert not isinstance(reply, Refusal)
            return ForwardResult(answer, reply, vm.vm_id, self.retries, vm.instance)
        finally:
            now_ms = clock.now_ms()
            latency_ms = now_ms - sent_at_ms
            load_balancer.note_answer(now_ms, vm.vm_id, outcome, latency_ms, load, head.route_id)
            if outcome is CallOutcome.CANCELLED and reply is not None:
                self.allowance.write_off(self._attempt_id)
                if not isinstance(reply, Refusal):
                    reply.cancel()

    def _note_not_answered(self, vm: Vm, refusal: Refusal) -> CallOutcome:
        if refusal is PROCESS_REPLACED:
            self.forwarder.note_misdirected(self.head, vm)
            return CallOutcome.REFUSED
        self.forwarder.peers.note_call(vm.vm_id, was_reached=False)
        return CallOutcome.LINK_LOST

    def _settle_lost(self, refusal: Refusal, lent: int) -> None:
        if refusal.run_state is RunState.NOT_RUN:
            self.allowance.settle(self._attempt_id, lent)
        else:
            self.allowance.write_off(self._attempt_id)

    def _decide(self, failure: Refusal) -> Retry | GiveUp:
        load_balancer = self.forwarder.fleet.find_load_balancer(self.head.service)
        attempt = Attempt(
            number=self.number,
            tried=self.tried,
            failure=failure,
            repeatable=self.head.repeatable,
            deadline_at_ms=self.deadline_at_ms,
            alternatives=load_balancer.count_usable(self.tried) if load_balancer else 0,
            earlier=self.earlier,
            priority=self.head.rank // RANKS_PER_PRIORITY,
            moves=self.moves,
        )
        return decide_retry(
            self.forwarder.clock.now_ms(),
            attempt,
            self.allowance,
            self.budget,
            self.forwarder.random,
        )

    def _give_up(self, forwarded: ForwardResult, refusal: Refusal) -> ForwardResult:
        """Return the backend server's last answer unchanged, or the final refusal."""
        if forwarded.head.code is ResultCode.OK:
            return forwarded
        return self._refuse(refusal, forwarded.head.levels)

    def _refuse(self, refusal: Refusal, levels: tuple[AdmissionLevel, ...] = ()) -> ForwardResult:
        """Return a final refusal with the admission levels, which tell which service sheds."""
        head = attrs.evolve(refusal_to_head(refusal), levels=levels)
        return ForwardResult(head, None, None, self.retries)


def is_failure(head: AnswerHead) -> bool:
    """Return whether the answer is a refusal or reports a failed backend server."""
    return head.code is not ResultCode.OK or head.status in _RETRIED_STATUSES


def _find_failure(head: AnswerHead) -> Refusal | None:
    """Return the failure that an answer reports and that may be retried here, or None.

    A failure of a child call is final here. It was already retried one level below, and a retry
    of this call would repeat the work of its whole subtree.
    """
    if head.code is not ResultCode.OK:
        return head_to_refusal(head)
    if head.status in _RETRIED_STATUSES and not head.child_failed:
        reason = f"the backend server answered {head.status}"
        return Refusal(ResultCode.BACKEND_SERVER_FAILED, reason, RunState.RAN)
    return None


def _classify_answer(head: AnswerHead) -> CallOutcome:
    """Return the outcome for the load balancer's view of the VM."""
    if head.code is ResultCode.DEADLINE_PASSED:
        return CallOutcome.TIMEOUT
    if head.code is ResultCode.BACKEND_SERVER_FAILED:
        return CallOutcome.ERROR
    if head.code is not ResultCode.OK:
        return CallOutcome.REFUSED
    if head.status in _RETRIED_STATUSES and not head.child_failed:
        return CallOutcome.ERROR
    return CallOutcome.SUCCESS
