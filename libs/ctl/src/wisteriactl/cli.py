"""The typer application and its entry point."""

import typer

from . import config, daemon, trace
from .const import EXIT_STATUS_HELP

app = typer.Typer(
    name="wisteriactl",
    help="Check configuration documents, inspect running daemons and their logs.",
    epilog=EXIT_STATUS_HELP,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.add_typer(config.app, name="config")
app.command("status", epilog=EXIT_STATUS_HELP)(daemon.status)
app.command("audit", epilog=EXIT_STATUS_HELP)(daemon.audit)
app.command("trace", epilog=EXIT_STATUS_HELP)(trace.trace)


def main() -> None:
    app()
