"""Commands that query a running daemon through its operators' port."""

from typing import Annotated, Any

import typer

from .client import fetch_object
from .output import JSON_OPTION, fail, print_json, print_objects, print_table

Address = typer.Argument(help="HOST:PORT of the daemon's operators' port.", show_default=False)

_STATUS_LISTS = ("peers", "slots", "limits")
_STATUS_TABLES = ("queues", "rates", "loans", "chain_levels", "poison", "slot_events", "control")
_AUDIT_COLUMNS = (
    "at_utc",
    "kind",
    "subject",
    "from_version",
    "to_version",
    "outcome",
    "reason",
)


def status(address: Annotated[str, Address], as_json: Annotated[bool, JSON_OPTION] = False) -> None:
    """Show the version in force and its age, readiness, peers, slots, limits and queues.

    Example: wisteriactl status 127.0.0.1:9090
    """
    answer = fetch_object(address, "/status")
    if as_json:
        print_json(answer)
        return
    plain = [(name, value) for name, value in answer.items() if not _is_nested(value)]
    print_table(f"daemon at {address}", ("field", "value"), plain)
    for name in _STATUS_LISTS:
        print_objects(name, _list_objects(answer, name))
    for name in _STATUS_TABLES:
        content = answer.get(name)
        if isinstance(content, dict) and content:
            _print_by_name(name, content)


def audit(address: Annotated[str, Address], as_json: Annotated[bool, JSON_OPTION] = False) -> None:
    """Show the audit trail: each change, its time (UTC), versions, outcome and reason.

    Example: wisteriactl audit 127.0.0.1:9090
    """
    answer = fetch_object(address, "/audit")
    if as_json:
        print_json(answer)
        return
    if "records" not in answer:
        fail(f"the response from {address} has no audit records; is this an operators' port?")
    rows = [
        [entry.get(name) for name in _AUDIT_COLUMNS] for entry in _list_objects(answer, "records")
    ]
    print_table(f"audit trail of {address}", _AUDIT_COLUMNS, rows)


def _print_by_name(title: str, content: dict[str, Any]) -> None:
    """Print a table with one row per name."""
    if not all(isinstance(value, dict) for value in content.values()):
        print_table(title, ("name", "value"), list(content.items()))
        return
    print_objects(title, [{"name": name, **value} for name, value in content.items()])


def _is_nested(value: object) -> bool:
    return isinstance(value, dict | list)


def _list_objects(answer: dict[str, Any], name: str) -> list[dict[str, Any]]:
    items = answer.get(name, [])
    if not isinstance(items, list):
        return []
    return [item for item in items if isinstance(item, dict)]
