"""Registry of the control messages between daemons and of their numbers on the wire.

Each variant of the daemon registers the messages that it uses, so that it imports no others.
"""

from typing import Any

from wisteria_routing import CrashReport, SuspicionCleared

KINDS: dict[int, type[Any]] = {}
"""Message classes by number."""

NUMBERS: dict[type[Any], int] = {}
"""Numbers by message class."""


def register_kinds(kinds: dict[int, type[Any]]) -> None:
    """Register messages. Numbers are never reused; new fields of a message are appended.

    Raises
    ------
    ValueError
        If a number is registered for another message.
    """
    for number, cls in kinds.items():
        if KINDS.setdefault(number, cls) is not cls:
            raise ValueError(
                f"control message {number} is already registered for {KINDS[number].__name__}"
            )
        NUMBERS[cls] = number


register_kinds({30: CrashReport, 31: SuspicionCleared})
