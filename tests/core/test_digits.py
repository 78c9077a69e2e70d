"""Whole numbers in texts from outside."""

from pathlib import Path

import pytest

from wisteria_core import parse_digits
from wisteriaproxy.mesh.settings import MeshSettings
from wisteriaproxy.settings import SettingsErrors, parse_settings_of
from wisteriaproxy.settings_rules import split_address

LONG = "9" * 5_000


@pytest.mark.parametrize("text", ["", "-1", "+1", " 1", "1.0", "\u00b2", "\u0661", "9" * 19, LONG])
def test_other_texts_are_no_number(text: str) -> None:
    """Guards against digits that `int` refuses although they look like a number."""
    assert parse_digits(text) is None


@pytest.mark.parametrize("text", ["0", "007", "9" * 18])
def test_digits_are_a_number(text: str) -> None:
    """Guards against a check that refuses sound numbers."""
    assert parse_digits(text) == int(text)


def test_a_port_of_any_number_of_digits_is_an_error_of_the_settings() -> None:
    """Guards against a settings file that ends the daemon when it is read again."""
    assert split_address(f"10.0.0.1:{LONG}") is None
    text = f'[listen]\ncallers = "10.0.0.1:{LONG}"\n'
    found = parse_settings_of(MeshSettings, text, Path())
    assert isinstance(found, SettingsErrors)
    assert "listen.callers" in {error.key for error in found.errors}
