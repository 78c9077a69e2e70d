"""Drives document dissemination and activates new documents."""

import logging
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from wisteria_config import Document
from wisteria_config.dissemination import (
    NO_VERSION,
    Action,
    ApplyDocument,
    AuditEntry,
    AuditOutcome,
    Disseminator,
    ReadService,
    ReadyChanged,
    SendTo,
    ServiceDocument,
    ServiceFailed,
    ServiceOutcome,
    ServiceUnchanged,
)
from wisteria_core import Clock, VmId, VmList

from .audit import AuditTrail
from .platform import DocumentRead, NotModified, PlatformClient, ReadFailed

_LOGGER = logging.getLogger(__name__)
_MS_PER_S = 1_000
TICK_MS = 100


@attrs.define(eq=False)
class ConfigurationManager:
    """Drives the dissemination protocol and executes the actions that it returns.

    Parameters
    ----------
    send : callable
        Sends a control message to the daemon of a VM.
    activate_document : callable
        Called with each new document that becomes active.
    """

    disseminator: Disseminator
    client: PlatformClient
    clock: Clock
    audit: AuditTrail
    tasks: TaskGroup
    send: Callable[[VmId, Any], None]
    activate_document: Callable[[Document], None]
    reads: int = 0

    @property
    def document(self) -> Document | None:
        """The active document; None before the first."""
        return self.disseminator.document

    @property
    def is_ready(self) -> bool:
        """Whether the daemon holds the latest version that it could learn of."""
        return self.disseminator.ready

    def age_ms(self) -> int:
        """Time since the version was last confirmed; -1 if it never was."""
        return self.disseminator.age_ms(self.clock.now_ms())

    async def run(self) -> None:
        """Keep the document up to date until cancelled."""
        self._execute(self.disseminator.start(self.clock.now_ms()))
        while True:
            await anyio.sleep(TICK_MS / _MS_PER_S)
            self._execute(self.disseminator.tick(self.clock.now_ms()))

    def wake(self) -> None:
        """Check for a newer version after a pause of the process."""
        self._execute(self.disseminator.handle_wake(self.clock.now_ms()))

    def apply_list(self, vm_list: VmList) -> None:
        self._execute(self.disseminator.handle_vm_list(vm_list, self.clock.now_ms()))

    def handle(self, sender: VmId, _incarnation: int, message: Any) -> None:
        self._execute(self.disseminator.handle_message(sender, message, self.clock.now_ms()))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendTo(vm_id, message):
                    self.send(vm_id, message)
                case ReadService():
                    self.tasks.start_soon(self._read, action)
                case ApplyDocument(document, _, _):
                    self.activate_document(document)
                case ReadyChanged(ready):
                    _LOGGER.info("configuration_ready", extra={"ready": ready})
                case AuditEntry():
                    self._record(action)

    async def _read(self, request: ReadService) -> None:
        self.reads += 1
        if request.revision is None:
            result = await self.client.async_read()
        else:
            result = await self.client.async_watch(request.revision, request.wait_ms)
        outcome: ServiceOutcome
        match result:
            case DocumentRead(raw, version):
                outcome = ServiceDocument(request.read_id, version, raw)
            case NotModified():
                outcome = ServiceUnchanged(request.read_id)
            case ReadFailed(_, reason):
                outcome = ServiceFailed(request.read_id, reason)
            case _:
                outcome = ServiceFailed(
                    request.read_id, "unexpected response of the configuration service"
                )
        self._execute(self.disseminator.handle_read(outcome, self.clock.now_ms()))

    def _record(self, entry: AuditEntry) -> None:
        accepted = entry.outcome is AuditOutcome.ACCEPTED
        reason = entry.reason if accepted else f"{entry.outcome.value} {entry.reason}"
        self.audit.record(
            "configuration",
            "document",
            "accepted" if accepted else "refused",
            reason,
            from_version=entry.from_version if entry.from_version != NO_VERSION else None,
            to_version=entry.to_version if entry.to_version != NO_VERSION else None,
        )
