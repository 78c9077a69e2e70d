"""Applies what the backend server of this VM says of itself in its answers."""

import logging

import attrs

from wisteria_admission import AdmissionGate
from wisteria_core import Clock

from ..calls import RunningCall
from ..dialect import UNLIMITED, BackendNotice, RateLimit, Unlimited, UnreadableLimit
from .news import ReportExchange

_LOGGER = logging.getLogger(__name__)
MAX_LOGGED_CHARS = 100


@attrs.define(eq=False)
class NoticeHandler:
    """Passes notices to the gate and to the record of leaving servers; logs changes."""

    gate: AdmissionGate
    exchange: ReportExchange
    clock: Clock
    _last_limit: RateLimit | Unlimited | UnreadableLimit = UNLIMITED

    def handle(self, call: RunningCall, notice: BackendNotice) -> None:
        """Apply the notice of the answer to `call`."""
        if notice.rate_limit != self._last_limit:
            self._last_limit = notice.rate_limit
            self._log_limit(call.head.instance)
        match notice.rate_limit:
            case RateLimit(per_s):
                self.gate.note_rate_limit(self.clock.now_ms(), per_s)
            case Unlimited():
                self.gate.note_unlimited(call.started_ms)
            case UnreadableLimit():
                pass
        if notice.is_leaving:
            self.exchange.note_own_server_leaving(call.head.instance)

    def _log_limit(self, instance: str) -> None:
        match self._last_limit:
            case RateLimit(per_s):
                _LOGGER.info("rate_limit_named", extra={"instance": instance, "per_s": per_s})
            case Unlimited():
                _LOGGER.info("rate_limit_not_named", extra={"instance": instance})
            case UnreadableLimit(text):
                extra = {"instance": instance, "text": text[:MAX_LOGGED_CHARS]}
                _LOGGER.warning("rate_limit_unreadable", extra=extra)
