"""`wisteriactl trace` finds the lines of a request in the logs of several machines."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from wisteriactl import app


def make_line(time: str, event: str, request_id: str, **fields: object) -> str:
    return json.dumps({"time": time, "event": event, "request_id": request_id, **fields})


@pytest.fixture(name="logs")
def logs_fixture(tmp_path: Path) -> list[str]:
    entry, serving = tmp_path / "entry.log", tmp_path / "serving.log"
    entry.write_text(
        "\n".join(
            [
                "not a log line",
                '{"time": "09", "event": "store_lost"}',
                make_line("12", "call_ended", "child", parent="one", vm="vm-3", code=0),
                make_line("14", "call_ended", "other", code=0),
                make_line("15", "call_ended", "one", vm="vm-2", code=303, reason="shed below"),
            ]
        )
    )
    serving.write_text(
        "10.25 vm-3 " + make_line("11", "call_refused", "grandchild", reason="no slot") + "\n"
        "10.50 vm-3 " + make_line("11.5", "call_ended", "grandchild", parent="child") + "\n{broken"
    )
    return [str(entry), str(serving)]


def test_lines_of_a_request_and_of_its_calls_stand_in_order(logs: list[str]) -> None:
    result = CliRunner().invoke(app, ["trace", "one", *logs, "--json"])
    assert result.exit_code == 0
    found = json.loads(result.stdout)
    assert [(line["machine"], line["request_id"]) for line in found] == [
        ("vm-3", "grandchild"),
        ("vm-3", "grandchild"),
        ("entry", "child"),
        ("entry", "one"),
    ]


def test_the_table_tells_machine_and_reason(logs: list[str]) -> None:
    result = CliRunner().invoke(app, ["trace", "one", *logs])
    assert result.exit_code == 0
    last = next(line for line in result.stdout.splitlines() if "shed below" in line)
    assert "entry" in last
    assert "code=303" in last


def test_an_unknown_request_is_an_error(logs: list[str]) -> None:
    result = CliRunner().invoke(app, ["trace", "none", *logs])
    assert result.exit_code == 1
    assert "none" in result.output
