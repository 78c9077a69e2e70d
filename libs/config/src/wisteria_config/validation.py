"""Validate a configuration document, which is accepted or refused as a whole."""

import attrs

from . import const
from .canonical import canonical_bytes
from .models import Document, DocumentError, DocumentErrors
from .parser import parse_json
from .references import find_cross_field_errors
from .structure import structure_object


def validate_document(raw: bytes) -> Document | DocumentErrors:
    """Return the document in `raw`, or all errors found in it.

    Parameters
    ----------
    raw : bytes
        JSON in UTF-8, at most `MAX_DOCUMENT_BYTES` long.

    Returns
    -------
    Document or DocumentErrors
        The document with its lists sorted by name, or the errors with their JSON paths.
    """
    if len(raw) > const.MAX_DOCUMENT_BYTES:
        return _refuse("$", f"is {len(raw)} bytes long; {const.MAX_DOCUMENT_BYTES} are allowed")
    plain = parse_json(raw)
    if isinstance(plain, DocumentErrors):
        return plain
    schema = plain.get("schema")
    if schema != const.SCHEMA or not isinstance(schema, int) or isinstance(schema, bool):
        return _refuse("$.schema", f"is not {const.SCHEMA}, the schema that this release reads")
    document = structure_object(plain, Document)
    errors = tuple(find_cross_field_errors(plain))
    if isinstance(document, DocumentErrors):
        return DocumentErrors(document.errors + errors)
    if errors:
        return DocumentErrors(errors)
    return _check_canonical_size(_order(document))


def _refuse(place: str, problem: str) -> DocumentErrors:
    return DocumentErrors((DocumentError(place, problem),))


def _order(document: Document) -> Document:
    return attrs.evolve(
        document,
        failure_domains=tuple(sorted(document.failure_domains, key=lambda domain: domain.name)),
        accounts=tuple(sorted(document.accounts, key=lambda account: account.name)),
        keys=tuple(sorted(document.keys, key=lambda key: key.id)),
        services=tuple(sorted(document.services, key=lambda service: service.name)),
        routes=tuple(sorted(document.routes, key=lambda route: route.id)),
    )


def _check_canonical_size(document: Document) -> Document | DocumentErrors:
    """Refuse a document whose canonical form is too long to send to a peer."""
    size = len(canonical_bytes(document))
    if size > const.MAX_DOCUMENT_BYTES:
        return _refuse("$", f"is {size} bytes long in canonical form")
    return document
