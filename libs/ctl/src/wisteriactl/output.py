"""Output of tables, JSON and errors."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NoReturn

import typer
from rich.console import Console
from rich.measure import Measurement
from rich.table import Table
from rich.text import Text

from .const import EXIT_FAILED

MAX_WIDTH_CHARS = 1_000
JSON_OPTION = typer.Option("--json", help="Print JSON instead of tables.")


def make_console(stderr: bool = False) -> Console:
    """Return a console that prints text literally, without interpreting markup or emoji names."""
    return Console(stderr=stderr, markup=False, emoji=False, highlight=False)


def sanitize(value: object) -> Text:
    """Return `value` as text, with control characters replaced so that none reach the terminal."""
    if isinstance(value, dict | list):
        value = json.dumps(value)
    shown = "-" if value is None else str(value)
    return Text("".join(char if char.isprintable() else "\ufffd" for char in shown))


def print_json(value: object) -> None:
    typer.echo(json.dumps(value, indent=2))


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table, as wide as its content when the output is not a terminal."""
    console = make_console()
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(sanitize(column), overflow="fold")
    for row in rows:
        table.add_row(*(sanitize(value) for value in row))
    if not console.is_terminal:
        unbounded = console.options.update(width=MAX_WIDTH_CHARS)
        console.width = max(console.width, Measurement.get(console, unbounded, table).maximum)
    console.print(table)


def print_objects(title: str, objects: Sequence[Mapping[str, Any]]) -> None:
    """Print a table with one column per field."""
    columns = list(dict.fromkeys(name for item in objects for name in item))
    print_table(title, columns, [[item.get(name) for name in columns] for item in objects])


def fail(message: str) -> NoReturn:
    """Print an error to stderr and exit with `EXIT_FAILED`."""
    make_console(stderr=True).print(sanitize(f"wisteriactl: {message}"), soft_wrap=True)
    raise typer.Exit(EXIT_FAILED)
