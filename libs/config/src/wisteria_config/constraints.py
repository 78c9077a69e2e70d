"""Constraints on single values of the document and their descriptions."""

import math
import re
from collections.abc import Mapping
from typing import Any

import attrs

from wisteria_core import Priority

METADATA_KEY = "about"
MAX_SHOWN_CHARS = 60


def show(value: object) -> str:
    """Return `value` escaped and truncated for an error message."""
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."


class ConstraintError(ValueError):
    """A value violates its constraint."""


@attrs.frozen
class IntegerRange:
    """A whole number between two inclusive bounds."""

    low: int
    high: int

    def describe(self) -> str:
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
    """A string that must match a regular expression in full."""

    pattern: str
    summary: str

    def describe(self) -> str:
        return self.summary

    def convert(self, value: object) -> str:
        """Return `value`, or raise `ConstraintError`."""
        if not isinstance(value, str) or re.fullmatch(self.pattern, value) is None:
            raise ConstraintError(f"{show(value)} is not {self.summary}")
        return value


@attrs.frozen
class OneOf:
    """A string from a fixed set."""

    options: tuple[str, ...]

    def describe(self) -> str:
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
        return "true or false"

    def convert(self, value: object) -> bool:
        """Return `value`, or raise `ConstraintError`."""
        if not isinstance(value, bool):
            raise ConstraintError(f"{show(value)} is not true or false")
        return value


@attrs.frozen
class Names:
    """A list of distinct strings that all meet the same constraint."""

    item: Text

    def describe(self) -> str:
        return f"a list of distinct items, each {self.item.describe()}"

    def convert(self, value: object) -> tuple[str, ...]:
        """Return the strings in sorted order, or raise `ConstraintError`."""
        if not isinstance(value, list):
            raise ConstraintError(f"{show(value)} is not a list")
        names = [self.item.convert(name) for name in value]
        if len(set(names)) < len(names):
            raise ConstraintError("lists the same item more than once")
        return tuple(sorted(names))


Constraint = IntegerRange | NumberRange | Text | OneOf | PriorityName | Flag | Names


@attrs.frozen
class FieldDescription:
    """Text of a field for the generated reference, and its constraint."""

    summary: str
    constraint: Constraint | None = None


def about(summary: str, constraint: Constraint | None = None) -> Mapping[str, Any]:
    """Return attrs metadata that holds the description of a field."""
    return {METADATA_KEY: FieldDescription(summary, constraint)}


def get_description(attribute: "attrs.Attribute[Any]") -> FieldDescription:
    description: FieldDescription = attribute.metadata[METADATA_KEY]
    return description
