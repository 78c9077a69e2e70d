"""Writes the settings reference, docs/SETTINGS.md, from the settings classes."""

import sys
from pathlib import Path
from typing import Any

import attrs

from .settings import Settings
from .settings_rules import META_DOC, META_RULE

_HEAD = """# Settings of the daemon

`wisteriaproxy --settings FILE` reads one TOML file at start; `--check` reads it and exits. With an
error it prints one line for each, `key: problem; allowed: ...`, and exits with status 2. Unknown
keys are errors. This page is made by `python -m wisteriaproxy.settings_reference`.
"""


def render_reference() -> str:
    """Return the settings reference as Markdown."""
    return "\n".join([_HEAD, *(_render_section(section) for section in attrs.fields(Settings))])


def _render_section(section: "attrs.Attribute[Any]") -> str:
    cls: Any = section.type
    lines = [f"## [{section.name}]", "", str(cls.__doc__), ""]
    lines += ["| key | meaning | allowed | default |", "|---|---|---|---|"]
    lines += [_render_row(field) for field in attrs.fields(cls)]
    return "\n".join([*lines, ""])


def _render_row(field: "attrs.Attribute[Any]") -> str:
    allowed = field.metadata[META_RULE].allowed
    return f"| `{field.name}` | {field.metadata[META_DOC]} | {allowed} | {_render_default(field)} |"


def _render_default(field: "attrs.Attribute[Any]") -> str:
    if field.default is attrs.NOTHING:
        return "must be given"
    return "none" if field.default is None else f"`{field.default}`"


def main() -> None:
    """Write the reference to the file named on the command line, or to standard output."""
    if len(sys.argv) > 1:
        Path(sys.argv[1]).write_text(render_reference(), encoding="utf-8")
    else:
        sys.stdout.write(render_reference())


if __name__ == "__main__":
    main()
