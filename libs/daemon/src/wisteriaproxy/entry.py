"""Entry side of the call path: admits and forwards callers' requests."""

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import attrs

from wisteria_admission import HASH_RANKS, ChainLevels, cap_retry_after, shed_rank
from wisteria_config import Document, Route
from wisteria_core import Clock, Refusal, ResultCode, RunState
from wisteria_limits import Admitted
from wisteria_routing import RetryAllowance, TrafficSplitter
from wisteria_wire import AnswerHead, CallHead, HttpRequest

from .answers import head_to_refusal
from .const import ATTR_CODE, ATTR_REQUEST_ID
from .dialect import CallerDialect
from .downloads import Relay
from .forward import Forwarder, ForwardResult, is_failure
from .identify import Caller
from .log_budget import CATEGORY_NOT_SERVED, CATEGORY_SUCCESS, has_line_budget
from .metrics import REQUESTS_UNANSWERED, Metrics
from .plan import Plan, count_hops, list_parts
from .stop_times import StopTimes

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
_MAX_HOPS = 32
WITHDRAWAL_GRACE_MS = 1_000
_NO_ROUTE = "none"
_NO_ACCOUNT = "none"
_REASON_CALLER = "closed by the caller"
_REASON_BROKEN_OFF = "broken off"

NO_DOCUMENT = Refusal(
    ResultCode.NOT_READY, "no configuration is in force yet", retry_after_ms=1_000
)
NO_MEMORY = Refusal(
    ResultCode.MEMORY_FULL, "the daemon has no memory for the request", retry_after_ms=500
)
INTERNAL = Refusal(ResultCode.INTERNAL, "the daemon failed to serve the request", RunState.UNKNOWN)
STOPPING = Refusal(ResultCode.STOPPING, "this daemon is stopping", retry_after_ms=100)


class RateAuthority(Protocol):
    """Enforces account rate limits."""

    async def admit(self, account: str) -> Admitted | Refusal:
        """Take the token for one call, or refuse it."""

    def refund(self, admitted: Admitted) -> None:
        """Return the token of a call that did not run."""


class CallRouter(Protocol):
    """Forwards a call until it is answered or refused for good."""

    async def forward(
        self,
        head: CallHead,
        deadline_at_ms: int,
        allowance: RetryAllowance,
        *,
        sent: list[str] | None = None,
    ) -> ForwardResult:
        """Return the outcome of the call; `sent` receives the destination of each attempt."""


@attrs.define(eq=False)
class EntryHandler:
    """Handles requests of callers and child calls of the backend server.

    Parameters
    ----------
    read_document : callable
        Returns the active configuration, or None before the first one.
    check_ready : callable
        Returns the refusal to answer with while the daemon may not take calls, or None.
    at_most_once : CallRouter
        Routes calls that must not run twice.
    answer_grace_ms : int
        Time to wait past the deadline, in milliseconds, for the answer of the serving daemon,
        which knows whether the call ran.
    log_level : int
        Level of the log line that is written at the end of each request.
    stop_times : StopTimes, optional
        Bounds for child calls while the daemon is stopping.
    """

    dialect: CallerDialect
    forwarder: Forwarder
    at_most_once: CallRouter
    rates: RateAuthority
    levels: ChainLevels
    metrics: Metrics
    clock: Clock
    read_document: Callable[[], Document | None]
    check_ready: Callable[[], Refusal | None]
    is_stopping: bool = False
    stop_times: StopTimes | None = None
    answer_grace_ms: int = 0
    log_level: int = logging.DEBUG
    splitter: TrafficSplitter = attrs.field(factory=TrafficSplitter)
    _active: set[Plan] = attrs.field(factory=set)

    @property
    def in_flight(self) -> int:
        """Requests whose answer has not been sent in full."""
        return len(self._active)

    async def handle(self, request: HttpRequest) -> None:
        """Serve until answered, or cancelled because the caller disconnected."""
        request_id = self.dialect.read_request_id(request)
        code = ResultCode.CANCELLED
        try:
            code = await self._handle(request, request_id)
        except Exception:
            code = ResultCode.INTERNAL
            _LOGGER.exception("entry_failed", extra={ATTR_REQUEST_ID: request_id})
            self._answer_internal_error(request, request_id)
        finally:
            if not request.exchange.is_ended:
                self._end_unanswered(request, request_id, code)

    async def _handle(self, request: HttpRequest, request_id: str) -> ResultCode:
        started_ms = self.clock.now_ms()
        plan = self._plan(started_ms, request, request_id)
        if isinstance(plan, Refusal):
            self._answer_refusal(request, request_id, plan)
            self._record_end(started_ms, request_id, None, plan.code)
            return plan.code
        scope = plan.scope
        scope.deadline = self._scope_deadline(started_ms, plan)
        request.exchange.on_cancel = scope.cancel
        self._active.add(plan)
        if plan.caller.parent is not None:
            plan.caller.parent.begin_child(started_ms, scope)
        code = ResultCode.CANCELLED
        try:
            with scope:
                code = await self._serve(plan)
        finally:
            self._active.discard(plan)
            if plan.caller.parent is not None:
                plan.caller.parent.end_child(self.clock.now_ms(), scope)
        if scope.cancelled_caught:
            code = self._end_early(plan)
        self._record_end(started_ms, request_id, plan, code)
        return code

    def end_withdrawn(self, document: Document) -> int:
        """Cancel the requests whose key has been withdrawn and return their number.

        An answer that is being streamed is cut off at once. A request without an answer gets
        `WITHDRAWAL_GRACE_MS`, because the serving daemon cancels the call as well and its answer
        says whether the call ran.
        """
        ended = 0
        grace_until = asyncio.get_running_loop().time() + WITHDRAWAL_GRACE_MS / _MS_PER_S
        for plan in list(self._active):
            caller = plan.caller
            if not caller.key_id or document.holds_key(caller.key_id, caller.key_digest):
                continue
            ended += 1
            if plan.request.exchange.started:
                plan.scope.cancel()
            else:
                plan.scope.deadline = min(plan.scope.deadline, grace_until)
        return ended

    def cancel_all(self) -> int:
        """Cancel every request; return their number."""
        for plan in list(self._active):
            plan.scope.cancel()
        return len(self._active)

    # planning

    def _plan(self, now_ms: int, request: HttpRequest, request_id: str) -> Plan | Refusal:
        if request.fault is ResultCode.MEMORY_FULL:
            return NO_MEMORY
        if request.fault is not ResultCode.OK:
            return Refusal(request.fault, "the request can't be read as HTTP/1.1 within bounds")
        document = self.read_document()
        if document is None:
            return NO_DOCUMENT
        route = self.dialect.find_route(document, request)
        if route is None:
            return Refusal(ResultCode.UNKNOWN_ROUTE, "no route matches the request")
        caller = self.dialect.identify(document, route, request)
        if isinstance(caller, Refusal):
            return caller
        if caller.parent is None and not caller.is_internal:
            refusal = STOPPING if self.is_stopping else self.check_ready()
            if refusal is not None:
                return refusal
        elif caller.parent is not None and caller.parent.head.hops >= _MAX_HOPS:
            return Refusal(ResultCode.BAD_REQUEST, f"a chain is at most {_MAX_HOPS} calls deep")
        deadline_at_ms = self._read_deadline(now_ms, request, route, caller)
        if isinstance(deadline_at_ms, Refusal):
            return deadline_at_ms
        times = self.stop_times
        if times is not None and times.would_cut(now_ms, deadline_at_ms + self.answer_grace_ms):
            return STOPPING
        key = self.dialect.read_idempotency_key(request, route)
        if isinstance(key, Refusal):
            return key
        service = (
            self.splitter.choose(route.id, list_parts(route)) if route.split else route.service
        )
        priority = document.resolve_priority(caller.account, route)
        return Plan(
            request, request_id, route, service, caller, deadline_at_ms, key, document, priority
        )

    def _read_deadline(
        self, now_ms: int, request: HttpRequest, route: Route, caller: Caller
    ) -> int | Refusal:
        """Return the deadline on this daemon's clock; a child call's is at most its parent's."""
        requested_ms = self.dialect.read_deadline_ms(request)
        if isinstance(requested_ms, Refusal):
            return requested_ms
        timeout_ms = (
            route.deadline_ms if requested_ms is None else min(route.deadline_ms, requested_ms)
        )
        deadline_at_ms = now_ms + timeout_ms
        if caller.parent is not None:
            deadline_at_ms = min(deadline_at_ms, caller.parent.deadline_at_ms)
        return deadline_at_ms

    def _scope_deadline(self, now_ms: int, plan: Plan) -> float:
        wait_limit_ms = plan.deadline_at_ms - now_ms + self.answer_grace_ms
        return asyncio.get_running_loop().time() + wait_limit_ms / _MS_PER_S

    # serving

    async def _serve(self, plan: Plan) -> ResultCode:
        if plan.caller.parent is not None:
            parent = plan.caller.parent
            return await self._run(
                plan, parent.allowance, parent.head.rank, parent.head.represented
            )
        if plan.caller.is_internal:
            # rate limit and shedding were applied where the request entered the call graph
            allowance = RetryAllowance(plan.route.retry_allowance)
            likely = plan.caller.likely_parent
            if likely is None:
                return await self._run(plan, allowance, rank=0, represented=1)
            head = likely.head
            return await self._run(
                plan, allowance, head.rank, head.represented, span=head.rank_span
            )
        account = plan.caller.account
        priority = plan.priority
        # the rate limit is applied first, so that calls beyond it do not count as demand
        admitted = await self.rates.admit(account)
        if isinstance(admitted, Refusal):
            return self._refuse_rate(plan, admitted)
        now_ms = self.clock.now_ms()
        excess_milli = self.levels.excess_milli(now_ms, account, priority, plan.route.id)
        span = self.levels.rank_span(now_ms, plan.route.id)
        rank = shed_rank(priority, excess_milli, plan.request_id, span)
        refusal = self.levels.should_shed(now_ms, rank, plan.route.id, account, priority)
        if refusal is not None:
            threshold = self.levels.threshold(now_ms, plan.route.id)
            plan.trace.update(rank=rank, threshold=threshold, reason=refusal.reason)
            self.rates.refund(admitted)
            return self._answer_refusal(plan.request, plan.request_id, refusal)
        represented = self.levels.take_represented(
            self.clock.now_ms(), plan.route.id, account, priority
        )
        allowance = RetryAllowance(plan.route.retry_allowance)
        return await self._run(plan, allowance, rank, represented, admitted, span)

    def _refuse_rate(self, plan: Plan, refusal: Refusal) -> ResultCode:
        """Refuse a call whose account exceeds its rate."""
        if refusal.retry_after_ms is not None:
            capped_ms = cap_retry_after(
                refusal.retry_after_ms, plan.route.target_ms, plan.request_id
            )
            refusal = attrs.evolve(refusal, retry_after_ms=capped_ms)
        plan.trace.update(reason=refusal.reason, retry_after_ms=refusal.retry_after_ms)
        return self._answer_refusal(plan.request, plan.request_id, refusal)

    async def _run(
        self,
        plan: Plan,
        allowance: RetryAllowance,
        rank: int,
        represented: int,
        admitted: Admitted | None = None,
        span: int = HASH_RANKS,
    ) -> ResultCode:
        head = self._make_head(plan, rank, represented, span)
        if plan.route.repeatable:
            router: CallRouter = self.forwarder
        else:
            router = self.at_most_once
        forwarded = await router.forward(head, plan.deadline_at_ms, allowance, sent=plan.sent)
        plan.trace.update(
            vm=forwarded.vm_id,
            instance=forwarded.instance,
            retries=forwarded.retries,
            run=forwarded.head.run_state.value,
            status=forwarded.head.status,
            reason=forwarded.head.reason,
            rank=rank,
        )
        self._store_levels(plan, forwarded.head)
        parent = plan.caller.parent or plan.caller.likely_parent
        if parent is not None and is_failure(forwarded.head):
            parent.child_failed = True
        if admitted is not None and forwarded.head.run_state is RunState.NOT_RUN:
            self.rates.refund(admitted)
        try:
            return await self._answer(plan, head, allowance, forwarded)
        finally:
            if forwarded.reply is not None:
                forwarded.reply.cancel()

    def _make_head(self, plan: Plan, rank: int, represented: int, span: int) -> CallHead:
        request, route, caller = plan.request, plan.route, plan.caller
        parent = caller.parent.head if caller.parent is not None else None
        likely = caller.likely_parent.head if caller.likely_parent is not None else parent
        return CallHead(
            request_id=parent.request_id if parent else plan.request_id,
            route_id=route.id,
            service=plan.service,
            method=request.method,
            target=request.target,
            headers=self.dialect.make_request_headers(request, caller),
            account=likely.account if likely else caller.account,
            key_id=caller.key_id,
            key_digest=caller.key_digest,
            priority=min(likely.priority, route.priority) if likely else plan.priority,
            rank=rank,
            remaining_ms=plan.deadline_at_ms - self.clock.now_ms(),
            allowance=0,
            idempotency_key=plan.idempotency_key,
            config_version=plan.document.version,
            body=request.body,
            hops=count_hops(caller),
            long=route.long_download,
            stall_ms=route.stall_ms,
            weight=caller.weight,
            repeatable=route.repeatable,
            represented=represented,
            rank_span=span,
        )

    def _store_levels(self, plan: Plan, head: AnswerHead) -> None:
        """Store levels, also for the answer to the parent call."""
        if not head.levels:
            return
        now_ms = self.clock.now_ms()
        self.levels.note_answer(
            now_ms, plan.route.id, plan.caller.account, plan.priority, head.levels
        )
        parent = plan.caller.parent or plan.caller.likely_parent
        if parent is not None:
            parent.note_levels(now_ms, head.levels)

    # answering

    async def _answer(
        self, plan: Plan, call: CallHead, allowance: RetryAllowance, forwarded: ForwardResult
    ) -> ResultCode:
        head = forwarded.head
        if head.code is not ResultCode.OK:
            return self._answer_refusal(plan.request, plan.request_id, head_to_refusal(head))
        if head.spent != forwarded.retries:
            head = attrs.evolve(head, spent=forwarded.retries)
        headers = self.dialect.make_answer_headers(head, plan.request_id)
        if head.complete:
            plan.request.exchange.answer(head.status, headers, head.body)
            return ResultCode.OK
        relay = Relay(self.forwarder, plan.request.exchange, call, allowance, plan.scope)
        return await relay.run(forwarded, headers)

    def _answer_refusal(
        self, request: HttpRequest, request_id: str, refusal: Refusal
    ) -> ResultCode:
        if refusal.code is ResultCode.STOPPING:
            # later requests on the connection would be refused as well
            request.exchange.keep_alive = False
        answer = self.dialect.make_refusal(refusal, request_id)
        request.exchange.answer(answer.status, answer.headers, answer.body)
        return refusal.code

    def _answer_internal_error(self, request: HttpRequest, request_id: str) -> None:
        """End a request whose handling raised an exception."""
        if request.exchange.started:
            request.exchange.abort()
            return
        self._answer_refusal(request, request_id, INTERNAL)

    def _end_unanswered(self, request: HttpRequest, request_id: str, code: ResultCode) -> None:
        """Count a request without a complete answer, and close its connection."""
        if request.exchange.is_cancelled:
            self.metrics.counter(REQUESTS_UNANSWERED).add((_REASON_CALLER,))
            return
        self.metrics.counter(REQUESTS_UNANSWERED).add((_REASON_BROKEN_OFF,))
        _LOGGER.warning(
            "request_unanswered",
            extra={
                ATTR_REQUEST_ID: request_id,
                ATTR_CODE: int(code),
                "started": request.exchange.started,
                "stopping": self.is_stopping,
            },
        )
        # a caller would otherwise wait on the connection for an answer that never comes
        request.exchange.abort()

    def _end_early(self, plan: Plan) -> ResultCode:
        """End a request after disconnect, deadline, withdrawn key or stop."""
        exchange = plan.request.exchange
        if exchange.is_cancelled:
            return ResultCode.CANCELLED
        refusal = self._find_end_reason(plan)
        if exchange.started:
            exchange.abort()
            return refusal.code
        return self._answer_refusal(plan.request, plan.request_id, refusal)

    def _find_end_reason(self, plan: Plan) -> Refusal:
        document = self.read_document()
        caller = plan.caller
        if (
            document is not None
            and caller.key_id
            and not document.holds_key(caller.key_id, caller.key_digest)
        ):
            return Refusal(ResultCode.KEY_WITHDRAWN, "the key has been withdrawn", RunState.UNKNOWN)
        if self.clock.now_ms() >= plan.deadline_at_ms:
            return Refusal(ResultCode.DEADLINE_PASSED, "the deadline has passed", RunState.UNKNOWN)
        return Refusal(ResultCode.CANCELLED, "the request was cancelled", RunState.UNKNOWN)

    def _record_end(
        self, started_ms: int, request_id: str, plan: Plan | None, code: ResultCode
    ) -> None:
        duration_ms = self.clock.now_ms() - started_ms
        route = plan.route.id if plan else _NO_ROUTE
        account = plan.caller.account if plan else _NO_ACCOUNT
        self.metrics.count_call(route, account, str(int(code)), duration_ms)
        category = CATEGORY_SUCCESS if code is ResultCode.OK else CATEGORY_NOT_SERVED
        if not _LOGGER.isEnabledFor(self.log_level) or not has_line_budget(category):
            return
        extra: dict[str, object] = {
            ATTR_REQUEST_ID: request_id,
            "route": route,
            "account": account,
            ATTR_CODE: int(code),
            "duration_ms": duration_ms,
        }
        if plan is not None:
            extra |= plan.describe(started_ms)
        elif (document := self.read_document()) is not None:
            extra["config_version"] = document.version
        _LOGGER.log(self.log_level, "call_ended", extra=extra)
