"""Numbers in headers of callers and backend servers, of any size and form."""

import math

import attrs
import pytest

from wisteria_core import Refusal
from wisteria_wire import BodyStream, HttpResponse
from wisteriaproxy.calls import CallRegistry
from wisteriaproxy.dialect import NativeCallerDialect, RateLimit, Unlimited, UnreadableLimit
from wrdsc.const import HEADER_COLD_MS, HEADER_INSTANCE_ID
from wrdsc.dialects import PlatformBackendDialect, PlatformCallerDialect, _decode_rate_limit

ODD_NUMBERS = [
    "",
    "-1",
    "0",
    "1e308",
    "1e400",
    "inf",
    "nan",
    "1_000",
    "\u00b2",
    "\u0661",
    "9" * 400,
    "9" * 5_000,
    "0" * 5_000 + "7",
]


@attrs.frozen
class Headers:
    """The headers of a request."""

    text: str

    def find_header(self, _name: str) -> str:
        return self.text


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_a_cold_time_of_any_form_is_read_or_unknown(text: str) -> None:
    """Guards against a number of thousands of digits, which ended the task of cold starts."""
    headers = (HEADER_INSTANCE_ID, "i-1", HEADER_COLD_MS, text)
    answer = HttpResponse(200, headers, 0, BodyStream())
    found = PlatformBackendDialect().read_cold_ms(answer, "i-1")
    assert found is None or 0 <= found <= 600_000


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_a_rate_of_any_form_is_read_or_unreadable(text: str) -> None:
    """Guards against a rate that no token bucket can hold."""
    found = _decode_rate_limit(text)
    match found:
        case RateLimit(per_s):
            assert math.isfinite(per_s)
            assert per_s >= 0
        case _:
            assert isinstance(found, UnreadableLimit | Unlimited)


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_a_time_out_of_any_form_is_read_or_ignored(text: str) -> None:
    """Guards against a time-out of a caller that ends its request with an internal error."""
    dialect = PlatformCallerDialect(lambda: "yield", lambda: False, lambda _: None)
    found = dialect.read_deadline_ms(Headers(text))  # type: ignore[arg-type]
    assert found is None or (isinstance(found, int) and 1 <= found <= 3_600_000)


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_a_native_deadline_of_any_form_is_read_or_refused(text: str) -> None:
    """Guards against a deadline of a caller that ends its request with an internal error."""
    dialect = NativeCallerDialect(CallRegistry())
    found = dialect.read_deadline_ms(Headers(text))  # type: ignore[arg-type]
    assert isinstance(found, Refusal) or found > 0
