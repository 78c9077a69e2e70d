"""The configuration document: model, validation, differences, dissemination."""

from .canonical import canonical_bytes, document_digest
from .changes import describe_changes
from .const import (
    MAX_BODY_BYTES,
    MAX_BURST_CALLS,
    MAX_DOCUMENT_BYTES,
    MAX_RATE_PER_S,
    MAX_SPLIT_WEIGHT,
    PUBLIC_ACCOUNT,
)
from .models import (
    Account,
    Document,
    DocumentError,
    DocumentErrors,
    DomainRecord,
    KeyRecord,
    PublicPolicy,
    RequestLimits,
    Route,
    Service,
    SplitPart,
)
from .validation import validate_document
from .versions import VersionOrder, VersionStamp, compare_versions

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_BURST_CALLS",
    "MAX_DOCUMENT_BYTES",
    "MAX_RATE_PER_S",
    "MAX_SPLIT_WEIGHT",
    "PUBLIC_ACCOUNT",
    "Account",
    "Document",
    "DocumentError",
    "DocumentErrors",
    "DomainRecord",
    "KeyRecord",
    "PublicPolicy",
    "RequestLimits",
    "Route",
    "Service",
    "SplitPart",
    "VersionOrder",
    "VersionStamp",
    "canonical_bytes",
    "compare_versions",
    "describe_changes",
    "document_digest",
    "validate_document",
]
