"""Child process of a test or benchmark, with its log file."""

import asyncio
import ctypes
import os
import signal
from pathlib import Path

import attrs

_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
_KILL_TIMEOUT_S = 5.0


def _set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent exits."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@attrs.define
class ManagedProcess:
    """A child process that is killed when its parent exits.

    Parameters
    ----------
    name : str
        Name used in messages.
    command : tuple of str
        Program and arguments.
    log : Path
        File to which standard output and standard error are appended at each start.
    """

    name: str
    command: tuple[str, ...]
    log: Path
    environment: dict[str, str] = attrs.field(factory=dict)
    _process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id.

        Raises
        ------
        RuntimeError
            If the process has not been started.
        """
        if self._process is None:
            raise RuntimeError(f"{self.name} has not been started")
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, negative for a signal; None if not started or still running."""
        return None if self._process is None else self._process.returncode

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def async_start(self) -> None:
        with self.log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *self.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {"UV_USE_IO_URING": "0"} | self.environment,
                preexec_fn=_set_parent_death_signal,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def async_wait(self, timeout_s: float) -> int | None:
        """Wait for the exit and return the status; None if it still runs after `timeout_s`."""
        if self._process is None:
            return None
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return None

    async def async_stop(self, timeout_s: float) -> int | None:
        """Send SIGTERM, then SIGKILL after `timeout_s` seconds; return the exit status."""
        if not self.is_running:
            return self.exit_status
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        status = await self.async_wait(timeout_s)
        if status is None:
            self.send_signal(signal.SIGKILL)
            status = await self.async_wait(_KILL_TIMEOUT_S)
        return status

    def read_log(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""
