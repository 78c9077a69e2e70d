"""Whole numbers in texts from outside."""

import pytest

from wisteria_core import parse_digits

LONG = "9" * 5_000


@pytest.mark.parametrize("text", ["", "-1", "+1", " 1", "1.0", "\u00b2", "\u0661", "9" * 19, LONG])
def test_other_texts_are_no_number(text: str) -> None:
    """Guards against digits that `int` refuses although they look like a number."""
    assert parse_digits(text) is None


@pytest.mark.parametrize("text", ["0", "007", "9" * 18])
def test_digits_are_a_number(text: str) -> None:
    """Guards against a check that refuses sound numbers."""
    assert parse_digits(text) == int(text)
