"""Constraints on single values of the document, with the words that describe them."""

import math
import re
from collections.abc import Mapping
from typing import Any

import attrs

from wisteria_core import Priority

METADATA_KEY = "about"
MAX_SHOWN_CHARS = 60


def show(value: object) -> str:
    """Return `value` shortened and escaped, fit for an error message."""
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."


class ConstraintError(ValueError):
    """A value of the document breaks its constraint."""


@attrs.frozen
class IntegerRange:
    """A whole number between two inclusive bounds."""

    low: int
    high: int

    def describe(self) -> str:
        """Return the allowed values in words."""
        return f"a whole number from {self.low} to {self.high}"

    def convert(self, value: object) -> int:
        """Return `value`, or raise `ConstraintError`."""
        if not isinstance(value, int) or isinstance(value, bool):
            raise ConstraintError(f"{show(value)} is not {self.describe()}")
        if not self.low <= value <= self.high:
            raise ConstraintError(f"{show(value)} is not {self.describe()}")
        return value


@attrs.frozen
class NumberRange:
    """A finite number between two inclusive bounds."""

    low: float
    high: float

    def describe(self) -> str:
        """Return the allowed values in words."""
        return f"a number from {self.low:g} to {self.high:g}"

    def convert(self, value: object) -> float:
        """Return `value` as a float, or raise `ConstraintError`."""
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise ConstraintError(f"{show(value)} is not {self.describe()}")
        if not self.low <= value <= self.high or not math.isfinite(value):
            raise ConstraintError(f"{show(value)} is not {self.describe()}")
        return float(value)


@attrs.frozen
class Text:
    """A string that a regular expression matches as a whole."""

    pattern: str
    words: str

    def describe(self) -> str:
        """Return the allowed values in words."""
        return self.words

    def convert(self, value: object) -> str:
        """Return `value`, or raise `ConstraintError`."""
        if not isinstance(value, str) or re.fullmatch(self.pattern, value) is None:
            raise ConstraintError(f"{show(value)} is not {self.words}")
        return value


@attrs.frozen
class OneOf:
    """A string out of a fixed set."""

    options: tuple[str, ...]

    def describe(self) -> str:
        """Return the allowed values in words."""
        return "one of " + ", ".join(f'"{option}"' for option in self.options)

    def convert(self, value: object) -> str:
        """Return `value`, or raise `ConstraintError`."""
        if not isinstance(value, str) or value not in self.options:
            raise ConstraintError(f"{show(value)} is not {self.describe()}")
        return value


@attrs.frozen
class PriorityName:
    """The name of a priority in lower case."""

    def describe(self) -> str:
        """Return the allowed values in words."""
        return "one of " + ", ".join(f'"{priority.name.lower()}"' for priority in Priority)

    def convert(self, value: object) -> Priority:
        """Return the priority named `value`, or raise `ConstraintError`."""
        for priority in Priority:
            if value == priority.name.lower():
                return priority
        raise ConstraintError(f"{show(value)} is not {self.describe()}")


@attrs.frozen
class Flag:
    """True or false."""

    def describe(self) -> str:
        """Return the allowed values in words."""
        return "true or false"

    def convert(self, value: object) -> bool:
        """Return `value`, or raise `ConstraintError`."""
        if not isinstance(value, bool):
            raise ConstraintError(f"{show(value)} is not true or false")
        return value


@attrs.frozen
class Names:
    """A list of distinct strings, each of which meets one constraint."""

    item: Text

    def describe(self) -> str:
        """Return the allowed values in words."""
        return f"a list of distinct items, each {self.item.describe()}"

    def convert(self, value: object) -> tuple[str, ...]:
        """Return the strings in order, or raise `ConstraintError`."""
        if not isinstance(value, list):
            raise ConstraintError(f"{show(value)} is not a list")
        names = [self.item.convert(name) for name in value]
        if len(set(names)) < len(names):
            raise ConstraintError("names one item twice")
        return tuple(sorted(names))


Constraint = IntegerRange | NumberRange | Text | OneOf | PriorityName | Flag | Names


@attrs.frozen
class About:
    """What the reference says of a field, and the constraint on its value."""

    words: str
    constraint: Constraint | None = None


def about(words: str, constraint: Constraint | None = None) -> Mapping[str, Any]:
    """Return attrs metadata that carries the description of a field."""
    return {METADATA_KEY: About(words, constraint)}


def read_about(attribute: "attrs.Attribute[Any]") -> About:
    """Return the description of a field of the document."""
    description: About = attribute.metadata[METADATA_KEY]
    return description
