"""Settings of the daemon: a TOML file read once at start; all errors in it are reported."""

import math
import tomllib
from pathlib import Path
from typing import Any, TypeVar, cast

import attrs
import cattrs

from .const import (
    DEFAULT_BACKOFF_FIRST_MS,
    DEFAULT_BACKOFF_MAX_MS,
    DEFAULT_HEALTH_PATH,
    DEFAULT_HEARTBEAT_MS,
    DEFAULT_LOOP_GAP_MS,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_POLL_MS,
    DEFAULT_READ_TIMEOUT_MS,
    DEFAULT_STOP_LIMIT_MS,
    DEFAULT_WATCH_TIMEOUT_MS,
    LOG_FORMATS,
    LOG_LEVELS,
    LOG_LOGFMT,
)
from .settings_rules import (
    FILE,
    IP_ADDRESS,
    META_RULE,
    NAME,
    PORT,
    TIME,
    URL,
    URL_PATH,
    Rule,
    between,
    one_of,
    setting,
)

S = TypeVar("S")


@attrs.frozen
class SettingsError:
    """One error in the settings.

    Parameters
    ----------
    key : str
        Dotted name of the key or name of the section, the path of a file that can't be read, or
        ``(file)`` if the text is not TOML.
    problem : str
        What is wrong with the value.
    allowed : str
        Description of the allowed values.
    """

    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}; allowed: {self.allowed}"


@attrs.frozen
class SettingsErrors:
    """All errors in the settings, in the order of the sections."""

    errors: tuple[SettingsError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


@attrs.frozen(kw_only=True)
class VmSettings:
    """Identity of this daemon."""

    id: str = setting("Name of the VM, as in the platform's list of VMs.", NAME)
    service: str = setting("Service whose backend server runs on the VM.", NAME)
    failure_domain: str = setting("Failure domain of the VM.", NAME)


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Addresses on which the daemon listens."""

    host: str = setting("IP address of the VM.", IP_ADDRESS)
    caller_port: int = setting("TCP port for callers and for child calls.", PORT)
    peer_port: int = setting("TCP port for other daemons.", PORT)
    operator_port: int = setting("TCP port for operators and metrics.", PORT)


@attrs.frozen(kw_only=True)
class BackendSettings:
    """The backend server beside the daemon."""

    host: str = setting("IP address of the backend server.", IP_ADDRESS, "127.0.0.1")
    port: int = setting("TCP port of the backend server.", PORT)
    slots: int = setting("Calls that it runs concurrently.", between(1, 10_000, "calls"))
    max_connections: int = setting(
        "Maximum number of connections to it.",
        between(1, 10_000, "connections"),
        DEFAULT_MAX_CONNECTIONS,
    )
    health_path: str = setting("Path of its health endpoint.", URL_PATH, DEFAULT_HEALTH_PATH)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Resources that the platform publishes."""

    config_url: str = setting("URL of the configuration document.", URL)
    vms_url: str = setting("URL of the list of VMs.", URL)


@attrs.frozen(kw_only=True)
class TlsSettings:
    """Certificates and keys, as PEM files."""

    peer_certificate: Path = setting("Certificate presented to other daemons.", FILE)
    peer_key: Path = setting("Key of that certificate.", FILE)
    peer_ca: Path = setting("CA certificate that verifies other daemons.", FILE)
    caller_certificate: Path | None = setting(
        "Certificate presented to callers; without it the caller port is unencrypted.", FILE, None
    )
    caller_key: Path | None = setting("Key of that certificate.", FILE, None)


@attrs.frozen(kw_only=True)
class LogSettings:
    """Log output, on standard error."""

    format: str = setting("Format of log lines.", one_of(LOG_FORMATS), LOG_LOGFMT)
    level: str = setting("Lowest level that is logged.", one_of(LOG_LEVELS), "info")


@attrs.frozen(kw_only=True)
class TimingSettings:
    """Intervals and timeouts, in milliseconds."""

    watch_timeout_ms: int = setting(
        "Timeout of a watch on the platform.", TIME, DEFAULT_WATCH_TIMEOUT_MS
    )
    read_timeout_ms: int = setting(
        "Timeout of a read from the platform.", TIME, DEFAULT_READ_TIMEOUT_MS
    )
    backoff_first_ms: int = setting(
        "First backoff delay after a failed read.", TIME, DEFAULT_BACKOFF_FIRST_MS
    )
    backoff_max_ms: int = setting(
        "Maximum backoff delay after failed reads.", TIME, DEFAULT_BACKOFF_MAX_MS
    )
    heartbeat_ms: int = setting(
        "Interval between heartbeats to other daemons.", TIME, DEFAULT_HEARTBEAT_MS
    )
    poll_ms: int = setting(
        "Interval between polls of the backend server's health.", TIME, DEFAULT_POLL_MS
    )
    stop_limit_ms: int = setting(
        "Maximum time for calls in flight to finish at a graceful stop.",
        TIME,
        DEFAULT_STOP_LIMIT_MS,
    )
    loop_gap_ms: int = setting(
        "Pause of the event loop after which the daemon treats its state as stale.",
        TIME,
        DEFAULT_LOOP_GAP_MS,
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one daemon; a section whose keys all have defaults may be omitted."""

    vm: VmSettings
    listen: ListenSettings
    backend: BackendSettings
    platform: PlatformSettings
    tls: TlsSettings
    log: LogSettings = LogSettings()
    timing: TimingSettings = TimingSettings()


def _structure_strictly(value: Any, expected_type: type) -> Any:
    if type(value) is not expected_type:
        raise TypeError(f"{value!r} is not {_TYPE_NAMES[expected_type]}")
    return value


_TYPE_NAMES = {int: "a whole number", str: "a string", bool: "true or false"}


def _structure_number(value: Any, _type: type) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError(f"{value!r} is not a finite number")
    return float(value)


def _make_converter(folder: Path) -> cattrs.Converter:
    converter = cattrs.Converter()
    for plain in _TYPE_NAMES:
        converter.register_structure_hook(plain, _structure_strictly)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(
        Path, lambda value, _: folder / _structure_strictly(value, str)
    )
    return converter


@attrs.define
class _Reader:
    """Reads sections and collects the errors in them."""

    converter: cattrs.Converter
    errors: list[SettingsError] = attrs.field(factory=list)

    def read(self, document: dict[str, Any], kind: type[S]) -> S | None:
        """Return the settings of a class, or None if there are errors."""
        sections = attrs.fields(cast(Any, kind))
        self._reject_unknown("", document, [section.name for section in sections])
        values = {}
        for section in sections:
            values[section.name] = self._read_section(section, document.get(section.name))
        if self.errors:
            return None
        settings = kind(**values)
        if isinstance(settings, Settings):
            self._check_combinations(settings)
        return None if self.errors else settings

    def _read_section(self, section: "attrs.Attribute[Any]", table: Any) -> Any:
        cls: Any = section.type
        if table is None:
            table = {}
        if not isinstance(table, dict):
            self._add_error(section.name, f"{table!r} is not a table", f"a [{section.name}] table")
            return None
        fields = attrs.fields(cls)
        self._reject_unknown(f"{section.name}.", table, [field.name for field in fields])
        values = {}
        for field in fields:
            key = f"{section.name}.{field.name}"
            if field.name in table:
                values[field.name] = self._read_value(key, field, table[field.name])
            elif field.default is attrs.NOTHING:
                self._add_error(key, "is missing", field.metadata[META_RULE].allowed)
        return None if self.errors else cls(**values)

    def _read_value(self, key: str, field: "attrs.Attribute[Any]", raw: Any) -> Any:
        rule: Rule = field.metadata[META_RULE]
        try:
            value = self.converter.structure(raw, field.type)  # type: ignore[arg-type]
        except (TypeError, ValueError, OverflowError) as error:
            self._add_error(key, str(error), rule.allowed)
            return None
        if not rule.is_allowed(value):
            self._add_error(key, f"{raw!r} is not allowed", rule.allowed)
        return value

    def _reject_unknown(self, prefix: str, table: dict[str, Any], known: list[str]) -> None:
        for name in table:
            if name not in known:
                self._add_error(f"{prefix}{name}", "is not a known key", ", ".join(known))

    def _check_combinations(self, settings: Settings) -> None:
        listen = settings.listen
        ports = (listen.caller_port, listen.peer_port, listen.operator_port)
        if len(set(ports)) < len(ports):
            self._add_error("listen", f"ports {ports} are not distinct", "three different ports")
        tls = settings.tls
        if (tls.caller_certificate is None) != (tls.caller_key is None):
            allowed = "both of caller_certificate and caller_key, or neither"
            self._add_error("tls.caller_key", "must be set together with its counterpart", allowed)
        timing = settings.timing
        if timing.backoff_first_ms > timing.backoff_max_ms:
            allowed = f"1 to {timing.backoff_max_ms} ms (timing.backoff_max_ms)"
            self._add_error(
                "timing.backoff_first_ms", "is above the maximum backoff delay", allowed
            )

    def _add_error(self, key: str, problem: str, allowed: str) -> None:
        self.errors.append(SettingsError(key, problem, allowed))


def parse_settings_of(kind: type[S], text: str, folder: Path) -> S | SettingsErrors:
    """Return the settings in `text` as an instance of `kind`, or all errors in them.

    Parameters
    ----------
    kind : type
        Class whose fields are sections.
    text : str
        TOML document.
    folder : Path
        Folder that relative file paths are resolved against.
    """
    try:
        document = tomllib.loads(text)
    # ValueError: also a number with more digits than Python converts
    except (ValueError, RecursionError) as error:
        return SettingsErrors((SettingsError("(file)", str(error), "a TOML document"),))
    reader = _Reader(_make_converter(folder))
    settings = reader.read(document, kind)
    return settings if settings is not None else SettingsErrors(tuple(reader.errors))


def parse_settings(text: str, folder: Path) -> Settings | SettingsErrors:
    """Return the daemon's settings in `text`, or all errors in them."""
    return parse_settings_of(Settings, text, folder)


def load_settings(path: Path) -> Settings | SettingsErrors:
    """Return the daemon's settings in the file `path`, or all errors in them."""
    return load_settings_of(Settings, path)


def load_settings_of(kind: type[S], path: Path) -> S | SettingsErrors:
    """Return the settings in the file `path` as an instance of `kind`, or all errors in them."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "is not UTF-8"
        return SettingsErrors((SettingsError(str(path), str(reason), "a readable TOML file"),))
    return parse_settings_of(kind, text, path.parent)
