"""Record of what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the time since the start to `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._started = time.monotonic()

    def note(self, who: str, what: str, *more: str) -> None:
        seconds = time.monotonic() - self._started
        print(f"{seconds:8.3f} {who}: {what}", *more, sep=", ", file=self._file)

    def say(self, what: str) -> None:
        """Record a line and print it."""
        self.note("case", what)
        print(what)

    def close(self) -> None:
        self._file.close()
