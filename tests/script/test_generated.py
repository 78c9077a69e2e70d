"""Generated files are up to date."""

from pathlib import Path

from script.tools.result_codes import PAGE, render_page

from wisteriaproxy.control.schema import write_schema

SCHEMA = Path(__file__).parents[2] / "libs/daemon/src/wisteriaproxy/control/control.capnp"


def test_result_codes_page_is_up_to_date() -> None:
    assert PAGE.read_text() == render_page()


def test_control_schema_is_up_to_date() -> None:
    assert SCHEMA.read_text() == write_schema()
