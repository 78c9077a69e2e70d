"""Whole numbers in texts from outside."""

MAX_DIGITS = 18
"""Digits of the longest number that is read: it fits into 64 bits."""


def parse_digits(text: str) -> int | None:
    """Return the number that a text of ASCII digits stands for, or None.

    `int` also takes digits of other scripts and raises for some thousands of them.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
