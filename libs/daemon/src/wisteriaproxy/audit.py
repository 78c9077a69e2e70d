"""Audit trail of changes: the latest ones in memory, each one also as a log line."""

import logging
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Literal

import attrs

from .const import MAX_AUDIT_RECORDS
from .metrics import Counts

_LOGGER = logging.getLogger(__name__)

Kind = Literal["configuration", "slot", "membership", "daemon"]
Outcome = Literal["accepted", "refused", "acquired", "released", "changed"]


@attrs.frozen
class AuditRecord:
    """One change, or one refused attempt at a change.

    Parameters
    ----------
    at_utc : str
        When, in UTC, to the millisecond.
    kind : str
        What changed: ``configuration``, ``slot``, ``membership`` or ``daemon``.
    subject : str
        Which one: the document, a slot's name, a VM.
    from_version, to_version : int or None
        Version (of a slot: term) before and after; None where there is none.
    outcome : str
        What came of it.
    reason : str
        Why; holds no secret.
    """

    at_utc: str
    kind: Kind
    subject: str
    from_version: int | None
    to_version: int | None
    outcome: Outcome
    reason: str


def _read_utc() -> datetime:
    return datetime.now(UTC)


@attrs.define
class AuditTrail:
    """The latest changes, oldest first.

    Parameters
    ----------
    limit : int
        Records kept; older ones are only in the log.
    read_utc : callable
        Returns the time in UTC.
    counts : Counts or None
        Counter that each record is added to.
    """

    limit: int = MAX_AUDIT_RECORDS
    read_utc: Callable[[], datetime] = _read_utc
    counts: Counts | None = None
    total: int = 0
    _records: deque[AuditRecord] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._records = deque(maxlen=self.limit)

    def record(
        self,
        kind: Kind,
        subject: str,
        outcome: Outcome,
        reason: str = "",
        *,
        from_version: int | None = None,
        to_version: int | None = None,
    ) -> AuditRecord:
        """Add a change to the trail and write it as a log line."""
        moment = self.read_utc().isoformat(timespec="milliseconds").replace("+00:00", "Z")
        entry = AuditRecord(moment, kind, subject, from_version, to_version, outcome, reason)
        self._records.append(entry)
        self.total += 1
        if self.counts is not None:
            self.counts.add((kind, outcome))
        _LOGGER.info("audit", extra=attrs.asdict(entry))
        return entry

    def describe(self, kind: str = "", limit: int = 0) -> list[dict[str, object]]:
        """Return the records as plain data, oldest first.

        Parameters
        ----------
        kind : str
            Only records of this kind; all when empty.
        limit : int
            Only so many of the latest; all when 0.
        """
        chosen = [entry for entry in self._records if kind in ("", entry.kind)]
        return [attrs.asdict(entry) for entry in chosen[-limit:]]
