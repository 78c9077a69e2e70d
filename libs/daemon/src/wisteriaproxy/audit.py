"""Audit trail: logs each change and keeps the latest in memory."""

import logging
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Literal

import attrs

from .const import MAX_AUDIT_RECORDS
from .metrics import Counts

_LOGGER = logging.getLogger(__name__)

Kind = Literal["configuration", "slot", "membership", "daemon", "evacuation"]
Outcome = Literal["accepted", "refused", "acquired", "released", "changed"]


@attrs.frozen
class AuditRecord:
    """A change, or a refused attempt at one.

    Parameters
    ----------
    at_utc : str
        Time in UTC, to the millisecond.
    kind : str
        Category: ``configuration``, ``slot``, ``membership``, ``daemon`` or ``evacuation``.
    subject : str
        What changed: the document, the name of a slot, a VM or a failure domain.
    from_version, to_version : int or None
        Version before and after the change, or term for a slot; None if there is none.
    outcome : str
        Result of the change.
    reason : str
        Cause of the change or refusal; contains no secret.
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
        Number of records kept in memory; older ones are only in the log.
    read_utc : callable
        Returns the current time in UTC.
    counts : Counts or None
        Counter that is incremented for each record.
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
        """Add and log a record."""
        timestamp = self.read_utc().isoformat(timespec="milliseconds").replace("+00:00", "Z")
        entry = AuditRecord(timestamp, kind, subject, from_version, to_version, outcome, reason)
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
            Maximum number of records, the latest ones; all when 0.
        """
        chosen = [entry for entry in self._records if kind in ("", entry.kind)]
        return [attrs.asdict(entry) for entry in chosen[-limit:]]
