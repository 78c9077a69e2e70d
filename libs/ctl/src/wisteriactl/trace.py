"""Command that follows a request through the logs of several machines."""

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer

from .output import JSON_OPTION, fail, print_json, print_table

ATTR_REQUEST_ID = "request_id"
ATTR_PARENT = "parent"
MAX_REQUESTS = 1_000
"""Size limit of the call tree; leaves room for a route that makes hundreds of child calls."""
MAX_TEXT_CHARS = 200
"""Longest value shown in the table; `--json` prints values in full."""

# shown in a column of their own, or the same on every line
_HIDDEN = frozenset({"time", "level", "logger", "event", ATTR_REQUEST_ID})

LogPath = typer.Argument(exists=True, dir_okay=False, readable=True, allow_dash=False)


@attrs.frozen
class LogLine:
    """A log line of a daemon.

    Parameters
    ----------
    time : str
        Time by the machine's clock, in ISO 8601; lines of different machines are ordered only as
        well as their clocks agree.
    machine : str
        Last word before the JSON object, where log collectors write the host name; without one,
        the name of the file.
    """

    time: str
    machine: str
    event: str
    request_id: str
    parent: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Format the fields that have no column."""
        shown = {
            name: value
            for name, value in self.fields.items()
            if name not in _HIDDEN and value not in ("", None)
        }
        return " ".join(f"{name}={str(value)[:MAX_TEXT_CHARS]}" for name, value in shown.items())


def parse_log_line(text: str, source: str) -> LogLine | None:
    """Parse a line; None if it is no JSON object or has no request id."""
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
    except ValueError:
        return None
    request_id = fields.get(ATTR_REQUEST_ID)
    if not isinstance(request_id, str):
        return None
    words = prefix.split()
    return LogLine(
        time=str(fields.get("time", "")),
        machine=words[-1] if words else source,
        event=str(fields.get("event", "")),
        request_id=request_id,
        parent=str(fields.get(ATTR_PARENT) or ""),
        fields=fields,
    )


def find_call_tree(lines: Iterable[LogLine], request_id: str) -> set[str]:
    """Return the ids of a request and its direct and indirect child calls."""
    children: dict[str, set[str]] = defaultdict(set)
    for line in lines:
        if line.parent:
            children[line.parent].add(line.request_id)
    call_tree, unvisited = {request_id}, [request_id]
    while unvisited and len(call_tree) < MAX_REQUESTS:
        found = children[unvisited.pop()] - call_tree
        call_tree |= found
        unvisited += found
    return call_tree


def trace(
    request_id: Annotated[str, typer.Argument(metavar="ID", help="Id of the request.")],
    files: Annotated[list[Path], LogPath],
    as_json: Annotated[bool, JSON_OPTION] = False,
) -> None:
    """Follow the request ID through the log FILES of any number of machines, in order of time.

    Shows the lines of the request and of all its child calls.

    Example: wisteriactl trace 9c41d07be2a35f68 entry.log serving.log
    """
    call_tree = find_call_tree(_read_files(files), request_id)
    found = sorted(
        (line for line in _read_files(files) if line.request_id in call_tree),
        key=lambda line: line.time,
    )
    if not found:
        fail(f"no line has request id {request_id}: served elsewhere, or its lines were dropped")
    if as_json:
        print_json([{"machine": line.machine, **line.fields} for line in found])
        return
    columns = ("time", "machine", "request", "event", "decided by")
    rows = [
        (line.time, line.machine, line.request_id, line.event, line.describe()) for line in found
    ]
    print_table(f"{request_id}: {len(found)} lines", columns, rows)


def _read_files(files: Iterable[Path]) -> Iterator[LogLine]:
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as stream:
                for text in stream:
                    line = parse_log_line(text, file.stem)
                    if line is not None:
                        yield line
        except OSError as error:
            fail(f"{file} cannot be read: {error.strerror}")
