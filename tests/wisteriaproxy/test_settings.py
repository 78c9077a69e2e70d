from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteria_wire import UNBOUNDED_BYTES
from wisteriaproxy.mesh.memory import find_budget
from wisteriaproxy.mesh.settings import MeshSettings
from wisteriaproxy.settings import (
    Settings,
    SettingsErrors,
    load_settings,
    parse_settings,
    parse_settings_of,
)
from wisteriaproxy.settings_reference import render_mesh_reference, render_reference
from wisteriaproxy.settings_rules import split_address

ROOT = Path(__file__).parents[2]

VALID_SETTINGS = """
[vm]
id = "vm-1"
service = "yield"
failure_domain = "north"
[listen]
host = "127.0.0.1"
caller_port = 8001
peer_port = 8002
operator_port = 8003
[backend]
port = 9000
slots = 20
[platform]
config_url = "http://127.0.0.1:7000/v1/config"
vms_url = "http://[::1]:7000/v1/vms"
[tls]
peer_certificate = "peer.pem"
peer_key = "peer.key"
peer_ca = "ca.pem"
"""


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    for name in ("peer.pem", "peer.key", "ca.pem"):
        (tmp_path / name).write_text("x")
    return tmp_path


def errors_of(text: str, folder: Path) -> dict[str, str]:
    found = parse_settings(text, folder)
    assert isinstance(found, SettingsErrors)
    return {error.key: str(error) for error in found.errors}


def test_whole_file_is_read_with_defaults(folder: Path) -> None:
    path = folder / "daemon.toml"
    path.write_text(VALID_SETTINGS)
    found = load_settings(path)
    assert isinstance(found, Settings)
    assert found.tls.peer_ca == folder / "ca.pem"
    assert (found.log.format, found.backend.health_path) == ("logfmt", "/health")


def test_every_error_is_named_at_once(folder: Path) -> None:
    text = VALID_SETTINGS.replace('"127.0.0.1"', '"localhost"').replace("8001", "true")
    text = text.replace('"peer.key"', '"absent.key"').replace("slots = 20", "slot = 20")
    errors = errors_of(text + '[log]\nformat = "xml"\n[extra]\n', folder)
    assert list(errors) == [
        "extra",
        "listen.host",
        "listen.caller_port",
        "backend.slot",
        "backend.slots",
        "tls.peer_key",
        "log.format",
    ]
    expected = 'log.format: \'xml\' is not allowed; allowed: "logfmt" or "json"'
    assert errors["log.format"] == expected
    assert errors["listen.caller_port"].startswith("listen.caller_port: True is not a whole number")


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("caller_port = 8001", "caller_port = 8002", "listen"),
        ('peer_ca = "ca.pem"', 'peer_ca = "ca.pem"\ncaller_key = "peer.key"', "tls.caller_key"),
        ("[tls]", "[timing]\nbackoff_first_ms = 20000\n[tls]", "timing.backoff_first_ms"),
        ("http://127.0.0.1:7000", "http://platform:7000", "platform.config_url"),
        ("http://127.0.0.1:7000", "http://127.0.0.1:70000", "platform.config_url"),
        ("[vm]", "vm = 1\n[other]", "vm"),
        ("[vm]", "[vm", "(file)"),
    ],
)
def test_one_error_is_named(folder: Path, old: str, new: str, key: str) -> None:
    assert key in errors_of(VALID_SETTINGS.replace(old, new), folder)


def test_unreadable_file_is_an_error(tmp_path: Path) -> None:
    found = load_settings(tmp_path / "absent.toml")
    assert isinstance(found, SettingsErrors)
    assert "No such file" in str(found)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    section=st.sampled_from(["vm", "listen", "backend", "platform", "tls", "log", "timing"]),
    key=st.sampled_from(["id", "host", "port", "slots", "vms_url", "peer_ca", "level", "poll_ms"]),
    value=st.one_of(
        st.integers(), st.booleans(), st.text("abc/:[]0.", max_size=20), st.just([]), st.floats()
    ),
)
def test_any_value_gives_settings_or_named_errors(section: str, key: str, value: object) -> None:
    match value:
        case bool():
            text = str(value).lower()
        case str():
            text = f'"{value}"'
        case _:
            text = str(value)
    found = parse_settings(f"[{section}]\n{key} = {text}\n", Path("/"))
    assert isinstance(found, SettingsErrors)
    assert all(error.key and error.problem and error.allowed for error in found.errors)


def test_reference_is_current() -> None:
    assert (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8") == render_reference()


def test_the_mesh_reference_is_up_to_date() -> None:
    page = (ROOT / "docs" / "MESH-SETTINGS.md").read_text(encoding="utf-8")
    assert page == render_mesh_reference()


VALID_MESH_SETTINGS = """
[vm]
id = "10.0.0.1"
service = "yield"
failure_domain = "north"
[listen]
callers = "10.0.0.1:8001"
peers = "10.0.0.1:8002"
ready = "10.0.0.1:8003"
operators = "10.0.0.1:8004"
[backend]
address = "10.0.0.1:8005"
[store]
address = "10.0.0.9:8006"
[bounds]
grace_s = 6
"""


def test_mesh_settings_name_each_error() -> None:
    valid = parse_settings_of(MeshSettings, VALID_MESH_SETTINGS, Path())
    assert isinstance(valid, MeshSettings)
    assert valid.bounds.grace_s == 6.0
    invalid_text = VALID_MESH_SETTINGS.replace("10.0.0.1:8002", "host:1").replace(
        "grace_s = 6", "grace_s = -1\nodd = 1"
    )
    errors = parse_settings_of(MeshSettings, invalid_text, Path())
    assert isinstance(errors, SettingsErrors)
    assert {error.key for error in errors.errors} == {
        "listen.peers",
        "bounds.grace_s",
        "bounds.odd",
    }


BOUNDS = (
    "grace_s",
    "memory_mb",
    "retry_ratio",
    "retry_slack",
    "rate_overage",
    "rate_slack",
    "cold_overage",
    "cold_slack",
    "strict_revocation",
)


@pytest.mark.parametrize("key", BOUNDS)
@pytest.mark.parametrize("value", ["inf", "-inf", "nan", '"7"', "[]", "{}", "1979-05-27"])
def test_a_bound_of_another_type_is_an_error(key: str, value: str) -> None:
    """Guards against settings that are taken and end the daemon at its start or a reload."""
    text = VALID_MESH_SETTINGS.replace("grace_s = 6", f"{key} = {value}")
    errors = parse_settings_of(MeshSettings, text, Path())
    assert isinstance(errors, SettingsErrors)
    assert [error.key for error in errors.errors] == [f"bounds.{key}"]


@pytest.mark.parametrize("key", BOUNDS[:-1])
def test_a_truth_value_is_no_number(key: str) -> None:
    """Guards against a bound of 1 where the operators wrote true."""
    text = VALID_MESH_SETTINGS.replace("grace_s = 6", f"{key} = true")
    assert isinstance(parse_settings_of(MeshSettings, text, Path()), SettingsErrors)


def test_any_memory_has_a_budget() -> None:
    """Guards against a memory that stands for no limit and ends the daemon at its start."""
    assert find_budget(1e308) == UNBOUNDED_BYTES
    assert find_budget(1.0) == 0


def test_a_port_of_any_number_of_digits_is_an_error_of_the_settings() -> None:
    """Guards against a settings file that ends the daemon when it is read again."""
    port = "9" * 5_000
    assert split_address(f"10.0.0.1:{port}") is None
    text = f'[listen]\ncallers = "10.0.0.1:{port}"\n'
    found = parse_settings_of(MeshSettings, text, Path())
    assert isinstance(found, SettingsErrors)
    assert "listen.callers" in {error.key for error in found.errors}
