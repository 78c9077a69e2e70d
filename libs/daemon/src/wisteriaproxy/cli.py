"""Command line of the daemon."""

import os
from pathlib import Path
from typing import Annotated

import typer

from .const import EXIT_BAD_SETTINGS, EXIT_FAILED, EXIT_OK
from .settings import SettingsErrors, load_settings

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    settings: Annotated[
        Path, typer.Option(help="TOML file with the daemon's settings; see docs/SETTINGS.md.")
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings, print each error, and exit.")
    ] = False,
) -> None:
    """Run the overload control daemon beside a backend server.

    The first SIGTERM or SIGINT stops it gracefully: new calls are refused as not run, calls in
    flight finish, slots are handed over. A second signal stops it immediately.

    Exit status: 0 after a stop that cut off no call, or for valid settings with --check; 1
    after a stop that cut off calls; 2 for invalid settings.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, SettingsErrors):
        typer.echo(str(loaded), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if check:
        typer.echo(f"{settings}: the settings are valid")
        raise typer.Exit(EXIT_OK)
    # libuv reads this when the event loop starts; the platform does not allow io_uring
    os.environ["UV_USE_IO_URING"] = "0"
    from .runtime import run_to_exit

    raise typer.Exit(EXIT_OK if run_to_exit(loaded) else EXIT_FAILED)


def main() -> None:
    """Run the command-line interface."""
    app()
