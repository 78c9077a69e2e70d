import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest
from typer.testing import CliRunner

from wisteriactl import app

EXAMPLES = Path(__file__).parents[2] / "examples"

STATUS = {
    "version": 7,
    "digest": "ab",
    "ready": True,
    "vm": "vm-1\x1b[2J",
    "peers": [{"vm": "vm-2", "state": "live"}],
    "slots": [{"name": "rate/co-op/0@north", "term": 3}],
    "limits": [{"account": "co-op", "rate": 40}],
    "queues": {"urgent": 0},
    "rates": {"co-op": {"held_milli": 4_500, "waiting": 0}},
    "loans": {},
}
AUDIT = {
    "total": 1,
    "records": [
        {
            "at_utc": "2026-12-03T22:00:00Z",
            "kind": "configuration",
            "subject": "document",
            "from_version": 6,
            "to_version": 7,
            "outcome": "accepted",
            "reason": "[bold]withdraws key k-17",
        }
    ],
}


class _Answers(BaseHTTPRequestHandler):
    def do_GET(self) -> None:
        answers = {"/status": json.dumps(STATUS), "/audit": json.dumps(AUDIT)}
        body = answers.get(self.path, "").encode()
        self.send_response(200 if body else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Keep the test output quiet."""


@pytest.fixture(name="address")
def address_fixture() -> Iterator[str]:
    with ThreadingHTTPServer(("127.0.0.1", 0), _Answers) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()
        thread.join()


def run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, arguments)
    return result.exit_code, result.output


@pytest.mark.parametrize("site", ["council", "route-works"])
def test_check_accepts_the_examples(site: str) -> None:
    status, output = run("config", "check", str(EXAMPLES / f"{site}.json"), "--json")
    assert status == 0
    assert json.loads(output)["accounts"] == 8


def test_check_names_each_error_with_its_place(tmp_path: Path) -> None:
    bad = tmp_path / "bad.json"
    bad.write_text('{"schema": 1, "version": 0, "public": {"burst": 1}, "extra": 1}')
    status, output = run("config", "check", str(bad))
    assert status == 1
    for part in ("$.version", "$.public.rate_per_s", "is missing", "'extra'", "$.failure_domains"):
        assert part in output
    status, output = run("config", "check", str(bad), "--json")
    assert status == 1
    assert len(json.loads(output)["errors"]) == 4


def test_diff_tells_changes_and_refuses_a_version_that_does_not_rise(tmp_path: Path) -> None:
    old = EXAMPLES / "council.json"
    plain = json.loads(old.read_text())
    plain["keys"] = [key for key in plain["keys"] if key["id"] != "vet-practice-1"]
    new = tmp_path / "new.json"
    new.write_text(json.dumps(plain))
    status, output = run("config", "diff", str(old), str(new))
    assert status == 1
    assert "raise `version`" in output
    new.write_text(json.dumps(plain | {"version": 2}))
    status, output = run("config", "diff", str(old), str(new))
    assert status == 0
    assert "withdraws key vet-practice-1 of client account vet-practice" in output


@pytest.mark.parametrize(
    "arguments",
    [
        ["config", "check", "no-such-file"],
        ["config", "check"],
        ["status", "no-port"],
        ["status", "127.0.0.1:99999"],
        ["status", "user@host:80/path"],
        ["unknown"],
    ],
)
def test_wrong_usage_ends_with_status_2(arguments: list[str]) -> None:
    assert run(*arguments)[0] == 2


def test_status_and_audit_print_tables_without_control_characters(address: str) -> None:
    status, output = run("status", address)
    assert status == 0
    assert "\x1b" not in output
    for part in ("vm-1", "vm-2", "co-op", "urgent", "rate/co-op/0@north", "held_milli"):
        assert part in output
    status, output = run("audit", address)
    assert status == 0
    assert "[bold]withdraws key k-17" in output


@pytest.mark.parametrize(("command", "answer"), [("status", STATUS), ("audit", AUDIT)])
def test_json_prints_the_raw_answer(address: str, command: str, answer: object) -> None:
    status, output = run(command, address, "--json")
    assert status == 0
    assert json.loads(output) == answer


def test_says_so_when_nobody_answers() -> None:
    status, output = run("status", "127.0.0.1:9")
    assert status == 1
    assert "does not answer" in output
