"""Render the reference page of the configuration document from the model."""

from collections.abc import Iterator
from typing import Any

import attrs

from wisteria_core import Priority

from . import const
from .constraints import FieldDescription, get_description
from .models import (
    Account,
    Document,
    DomainRecord,
    KeyRecord,
    PublicPolicy,
    RequestLimits,
    Route,
    Service,
    SplitPart,
)

_SECTIONS: tuple[tuple[str, type[Any]], ...] = (
    ("The whole document", Document),
    ("`public`: open routes", PublicPolicy),
    ("`accounts`: client accounts", Account),
    ("`keys`: keys of client accounts", KeyRecord),
    ("`failure_domains`: failure domains", DomainRecord),
    ("`services`: services", Service),
    ("`routes`: route policies", Route),
    ("`split` of a route", SplitPart),
    ("`limits`: bounds on requests", RequestLimits),
)

_INTRODUCTION = f"""\
# The configuration document

One JSON object in UTF-8, at most {const.MAX_DOCUMENT_BYTES} bytes. It is accepted or refused
as a whole. Unknown fields, duplicate names, duplicate JSON keys, dangling references, values of
the wrong type or out of range and non-finite numbers are refused, each reported with its JSON
path. Check a file with `wisteriactl config check FILE`.

This page is generated: `python -m wisteria_config.reference > docs/CONFIGURATION.md`;
a test checks that it is up to date.
"""

_CLOSING = """
## Rules across fields

- Names are unique within their list; so are key digests, and the triples of host, method and
  path.
- Keys name an existing account, routes an existing service and existing accounts.
- An open route lists no accounts. A long download is a repeatable `GET`.
- The order of the lists is not significant.
- A higher `version` replaces a lower one, never the reverse. Two documents of the same version
  with different content are a conflict: each daemon keeps the one that it accepted first, and
  an operator resolves the conflict by publishing a higher version.
- A request path that servers may interpret differently (dot segments, empty segments, encoded
  slashes or percent signs) matches no route.

The digest of a key: `printf %s "$KEY" | sha256sum`.
"""


def render_reference() -> str:
    """Return docs/CONFIGURATION.md as text."""
    sections = "".join(_render_section(title, part) for title, part in _SECTIONS)
    return _INTRODUCTION + sections + _CLOSING


def _render_section(title: str, part: type[Any]) -> str:
    rows = "".join(_render_rows(part))
    return f"\n## {title}\n\n| field | meaning | allowed | default |\n|---|---|---|---|\n{rows}"


def _render_rows(part: type[Any]) -> Iterator[str]:
    for field in attrs.fields(part):
        description = get_description(field)
        allowed = _render_allowed(field.name, description)
        default = _render_default(field)
        yield f"| `{field.name}` | {description.summary} | {allowed} | {default} |\n"


def _render_allowed(name: str, description: FieldDescription) -> str:
    if description.constraint is not None:
        return description.constraint.describe()
    return (
        "an object, see below" if name in ("public", "limits") else "a list of objects, see below"
    )


def _render_default(field: "attrs.Attribute[Any]") -> str:
    match field.default:
        case attrs.NOTHING:
            return "required"
        case Priority():
            return f'`"{field.default.name.lower()}"`'
        case bool():
            return f"`{str(field.default).lower()}`"
        case RequestLimits():
            return "its defaults"
        case None:
            return "none"
        case "":
            return "empty"
        case ():
            return "`[]`"
    return f"`{field.default}`"


if __name__ == "__main__":
    print(render_reference(), end="")
