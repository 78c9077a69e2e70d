"""Commands for configuration documents."""

from pathlib import Path
from typing import Annotated

import typer

from wisteria_config import (
    MAX_DOCUMENT_BYTES,
    Document,
    DocumentErrors,
    VersionOrder,
    VersionStamp,
    compare_versions,
    describe_changes,
    document_digest,
    validate_document,
)

from .const import EXIT_FAILED, EXIT_STATUS_HELP
from .output import JSON_OPTION, fail, print_json, print_table

app = typer.Typer(help="Check and compare configuration documents.", no_args_is_help=True)

DocumentPath = typer.Argument(exists=True, dir_okay=False, readable=True, allow_dash=False)

_ORDER_MESSAGES = {
    VersionOrder.NEWER: "it will take effect",
    VersionOrder.SAME: "it changes nothing",
    VersionOrder.OLDER: "it will be ignored: its version is lower than the one in force",
    VersionOrder.CONFLICT: "it will be refused: another document has this version; raise `version`",
}


@app.command("check", epilog=EXIT_STATUS_HELP)
def check(
    file: Annotated[Path, DocumentPath], as_json: Annotated[bool, JSON_OPTION] = False
) -> None:
    """Validate FILE as the daemon does and list each error with its place.

    Example: wisteriactl config check examples/council.json
    """
    outcome = _read_document(file)
    if isinstance(outcome, DocumentErrors):
        _print_errors(file, outcome, as_json)
        raise typer.Exit(EXIT_FAILED)
    summary = _summarize(outcome)
    if as_json:
        print_json({"valid": True, "errors": []} | summary)
        return
    print_table(f"{file}: valid", ("part", "value"), list(summary.items()))


@app.command("diff", epilog=EXIT_STATUS_HELP)
def diff(
    old: Annotated[Path, DocumentPath],
    new: Annotated[Path, DocumentPath],
    as_json: Annotated[bool, JSON_OPTION] = False,
) -> None:
    """Show what replacing OLD by NEW would change.

    Example: wisteriactl config diff in-force.json edited.json
    """
    before, after = _require_valid(old, as_json), _require_valid(new, as_json)
    order = compare_versions(_make_stamp(after), _make_stamp(before))
    changes = describe_changes(before, after)
    verdict = f"version {before.version} to {after.version}: {_ORDER_MESSAGES[order]}"
    if as_json:
        versions = {"from_version": before.version, "to_version": after.version}
        print_json(versions | {"order": order.value, "changes": list(changes)})
    else:
        print_table(verdict, ("change",), [(change,) for change in changes])
    if order in (VersionOrder.OLDER, VersionOrder.CONFLICT):
        raise typer.Exit(EXIT_FAILED)


def _read_document(file: Path) -> Document | DocumentErrors:
    try:
        with file.open("rb") as stream:
            return validate_document(stream.read(MAX_DOCUMENT_BYTES + 1))
    except OSError as error:
        fail(f"{file} cannot be read: {error.strerror}")


def _require_valid(file: Path, as_json: bool) -> Document:
    outcome = _read_document(file)
    if isinstance(outcome, DocumentErrors):
        _print_errors(file, outcome, as_json)
        raise typer.Exit(EXIT_FAILED)
    return outcome


def _print_errors(file: Path, errors: DocumentErrors, as_json: bool) -> None:
    if as_json:
        listed = [{"place": error.place, "problem": error.problem} for error in errors.errors]
        print_json({"valid": False, "file": str(file), "errors": listed})
        return
    rows = [(error.place, error.problem) for error in errors.errors]
    print_table(f"{file}: refused, {len(rows)} errors", ("place", "problem"), rows)


def _summarize(document: Document) -> dict[str, object]:
    return {
        "version": document.version,
        "digest": document_digest(document).hex(),
        "accounts": len(document.accounts),
        "keys": len(document.keys),
        "services": len(document.services),
        "routes": len(document.routes),
    }


def _make_stamp(document: Document) -> VersionStamp:
    return VersionStamp(document.version, document_digest(document))
