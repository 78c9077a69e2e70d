"""Reasons for entries of the audit trail, of bounded length."""

from collections.abc import Sequence

from ..changes import describe_changes
from ..models import Document, DocumentErrors

_MAX_REASONS = 10


def describe_replacement(old: Document | None, new: Document) -> str:
    if old is None:
        return "first document"
    return _join(describe_changes(old, new)) or "no change but the version"


def describe_errors(errors: DocumentErrors) -> str:
    """Return the errors with their JSON paths."""
    return _join([f"{error.place} {error.problem}" for error in errors.errors])


def _join(reasons: Sequence[str]) -> str:
    left = len(reasons) - _MAX_REASONS
    more = [f"and {left} more"] if left > 0 else []
    return "; ".join([*reasons[:_MAX_REASONS], *more])
