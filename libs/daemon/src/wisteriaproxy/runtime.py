"""Starts the event loop of the daemon, with the garbage collector tuned for short pauses."""

import anyio

from .app import run_daemon
from .collector import tune_garbage_collector
from .logs import setup_logs
from .settings import Settings


def run_to_exit(settings: Settings) -> bool:
    """Run the daemon until it stops; return whether the stop cut off no call."""
    setup_logs(settings.log)
    tune_garbage_collector()
    return anyio.run(run_daemon, settings, backend_options={"use_uvloop": True})
