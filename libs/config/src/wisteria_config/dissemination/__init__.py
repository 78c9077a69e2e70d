"""Keep the highest version in force on every VM with few reads of the configuration service."""

from .config import DisseminationConfig
from .diagnostics import describe
from .machine import Disseminator
from .models import (
    NEVER_CONFIRMED,
    NO_VERSION,
    Action,
    ApplyDocument,
    AuditEntry,
    AuditOutcome,
    DocumentChunk,
    DocumentDelta,
    DocumentFetch,
    Message,
    ReadService,
    ReadyChanged,
    SendTo,
    ServiceDocument,
    ServiceFailed,
    ServiceOutcome,
    ServiceUnchanged,
    VersionAnnounce,
    VersionQuery,
)

__all__ = [
    "NEVER_CONFIRMED",
    "NO_VERSION",
    "Action",
    "ApplyDocument",
    "AuditEntry",
    "AuditOutcome",
    "DisseminationConfig",
    "Disseminator",
    "DocumentChunk",
    "DocumentDelta",
    "DocumentFetch",
    "Message",
    "ReadService",
    "ReadyChanged",
    "SendTo",
    "ServiceDocument",
    "ServiceFailed",
    "ServiceOutcome",
    "ServiceUnchanged",
    "VersionAnnounce",
    "VersionQuery",
    "describe",
]
