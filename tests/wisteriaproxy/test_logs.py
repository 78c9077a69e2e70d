import io
import json
import logging
import re
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteriaproxy.logs import LogfmtFormatter, make_handler, redact, render_value, setup_logs
from wisteriaproxy.settings import LogSettings

SECRET = "wk_very-secret"


@pytest.fixture
def logger() -> Iterator[logging.Logger]:
    found = logging.getLogger("wisteriaproxy.test_logs")
    found.propagate = False
    found.setLevel(logging.DEBUG)
    yield found
    found.handlers.clear()


def write(logger: logging.Logger, log_format: str, event: str, **extra: object) -> str:
    stream = io.StringIO()
    handler = make_handler(LogSettings(format=log_format), stream)
    logger.addHandler(handler)
    logger.info(event, extra=extra)
    logger.removeHandler(handler)
    return stream.getvalue()


def test_event_is_one_line_of_pairs(logger: logging.Logger) -> None:
    line = write(logger, "logfmt", "call_refused", request_id="r 1", code=210, at=None, ran=False)
    assert re.fullmatch(
        r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info logger=wisteriaproxy.test_logs "
        r'event=call_refused request_id="r 1" code=210 at=null ran=false\n',
        line,
    )


def test_json_has_the_same_names(logger: logging.Logger) -> None:
    fields = json.loads(write(logger, "json", "call_refused", request_id="r 1", code=210))
    assert list(fields) == ["time", "level", "logger", "event", "request_id", "code"]
    assert (fields["event"], fields["request_id"], fields["code"]) == ("call_refused", "r 1", 210)


@pytest.mark.parametrize("log_format", ["logfmt", "json"])
def test_secrets_never_reach_a_line(logger: logging.Logger, log_format: str) -> None:
    stream = io.StringIO()
    logger.addHandler(make_handler(LogSettings(format=log_format), stream))
    logger.info("Authorization: Bearer %s", SECRET)
    logger.info("x", extra={"authorization": SECRET, "call_token": SECRET})
    logger.info("x", extra={"headers": [(b"authorization", f"Bearer {SECRET}".encode())]})
    logger.info("x", extra={"headers": {"Wisteria-Call": SECRET, "Cookie": SECRET}})
    logger.info("x", extra={"head": f"GET / HTTP/1.1\r\nwisteria-call: {SECRET}\r\n"})
    try:
        raise ValueError(f"bad header authorization: bearer {SECRET}")
    except ValueError:
        logger.exception("failed")
    written = stream.getvalue()
    assert SECRET not in written
    assert written.count("\n") == 6
    assert "bad header" in written


def test_other_text_is_kept() -> None:
    assert redact("author=1 bear token") == "author=1 bear token"


def test_setup_replaces_handlers_and_sets_levels() -> None:
    root = logging.getLogger()
    before, level = list(root.handlers), root.level
    stream = io.StringIO()
    try:
        setup_logs(LogSettings(level="warning"), stream)
        setup_logs(LogSettings(level="warning"), stream)
        logging.getLogger("wisteriaproxy.x").info("quiet")
        logging.getLogger("wisteriaproxy.x").warning("loud")
        logging.getLogger("other").info("quiet")
        assert stream.getvalue().count("event=") == 1
    finally:
        root.handlers[:] = before
        root.setLevel(level)
        logging.getLogger("wisteriaproxy").setLevel(logging.NOTSET)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(max_size=40))
def test_any_value_reads_back_from_one_line(value: str) -> None:
    rendered = render_value(value)
    assert "\n" not in rendered
    assert all(char.isprintable() for char in rendered)
    if rendered.startswith('"'):
        unescaped = rendered[1:-1]
        assert re.fullmatch(r'(?:[^"\\]|\\.)*', unescaped)
    else:
        assert rendered == value


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.dictionaries(st.text("ab =\n\"'", min_size=1, max_size=5), st.text(max_size=10)))
def test_names_never_break_the_line(extra: dict[str, str]) -> None:
    record = logging.makeLogRecord({"msg": "event", **extra})
    line = LogfmtFormatter().format(record)
    assert "\n" not in line
