"""Runs the daemon with logging and garbage collector configured."""

import anyio

from .app import run_daemon
from .collector import tune_garbage_collector
from .logs import setup_logs
from .settings import Settings


def run_to_exit(settings: Settings) -> bool:
    """Run until the daemon stops; return whether every call in flight completed."""
    setup_logs(settings.log)
    tune_garbage_collector()
    return anyio.run(run_daemon, settings, backend_options={"use_uvloop": True})
