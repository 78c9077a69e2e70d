"""Registry of the control messages between daemons, and the numbers under which they travel.

Each way of putting a daemon together registers its own, so that one imports no more than it uses.
"""

from typing import Any

from wisteria_routing import CrashReport, SuspicionCleared

KINDS: dict[int, type[Any]] = {}
NUMBERS: dict[type[Any], int] = {}


def register_kinds(kinds: dict[int, type[Any]]) -> None:
    """Make messages known; numbers are never reused, fields of a message only grow at the end.

    Raises
    ------
    ValueError
        If a number stands for another message already.
    """
    for number, cls in kinds.items():
        if KINDS.setdefault(number, cls) is not cls:
            raise ValueError(f"control message {number} is {KINDS[number].__name__} already")
        NUMBERS[cls] = number


register_kinds({30: CrashReport, 31: SuspicionCleared})
