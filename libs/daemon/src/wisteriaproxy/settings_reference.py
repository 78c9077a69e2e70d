"""Writes the settings reference, docs/SETTINGS.md, from the settings classes."""

import sys
from pathlib import Path
from typing import Any

import attrs

from .mesh.settings import MeshSettings
from .settings import Settings
from .settings_rules import META_DOC, META_RULE

_OWN_HEAD = """# Settings of the daemon

`wisteriaproxy --settings FILE` reads one TOML file at start; `--check` reads it and exits. With an
error it prints one line for each, `key: problem; allowed: ...`, and exits with status 2. Unknown
keys are errors. This page is made by `python -m wisteriaproxy.settings_reference`.
"""


_MESH_HEAD = """# Settings of the daemon in a mesh

Where a platform's store names the VMs and publishes the configuration, the daemon reads this TOML
file. It looks at the file again on SIGHUP and when it has changed; the level of the log changes at
once, other keys with a restart, which a log line says. This page is made by
`python -m wisteriaproxy.settings_reference`.
"""
OWN_PAGE = "SETTINGS.md"
MESH_PAGE = "MESH-SETTINGS.md"


def render_reference() -> str:
    """Return the reference of the daemon's own settings as Markdown."""
    return _render(_OWN_HEAD, Settings)


def render_mesh_reference() -> str:
    """Return the reference of the settings in a mesh as Markdown."""
    return _render(_MESH_HEAD, MeshSettings)


def _render(head: str, kind: Any) -> str:
    return "\n".join([head, *(_render_section(section) for section in attrs.fields(kind))])


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
    """Write the references into the folder named on the command line."""
    folder = Path(sys.argv[1])
    (folder / OWN_PAGE).write_text(render_reference(), encoding="utf-8")
    (folder / MESH_PAGE).write_text(render_mesh_reference(), encoding="utf-8")


if __name__ == "__main__":
    main()
