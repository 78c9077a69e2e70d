"""HTTP client for a daemon's operators' port."""

import json
import re
from typing import Any

import httpx
import typer

from .const import MAX_RESPONSE_BYTES, REQUEST_TIMEOUT_S
from .output import fail

_ADDRESS_PATTERN = re.compile(r"(?:\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})")
_MAX_PORT = 65_535


def validate_address(address: str) -> str:
    """Return `address` if it has the form HOST:PORT.

    Raises
    ------
    typer.BadParameter
        If it has another form or the port is out of range.
    """
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 0 < int(match[1]) <= _MAX_PORT:
        raise typer.BadParameter(f"{address!r} is not HOST:PORT, such as 127.0.0.1:9090")
    return address


def fetch_object(address: str, path: str) -> dict[str, Any]:
    """Return the JSON object that the daemon responds with to a GET of `path`.

    Any failure is printed and ends the program.
    """
    url = f"http://{validate_address(address)}{path}"
    try:
        raw = _fetch(url)
    except httpx.TimeoutException:
        fail(f"{address} did not answer within {REQUEST_TIMEOUT_S:g} s")
    except httpx.HTTPError as error:
        fail(f"{address} does not answer: {error}; is the daemon running?")
    try:
        answer = json.loads(raw)
    except (ValueError, RecursionError):
        fail(f"the response from {url} is not JSON; is this an operators' port?")
    if not isinstance(answer, dict):
        fail(f"the response from {url} is not a JSON object; is this an operators' port?")
    return answer


def _fetch(url: str) -> bytes:
    """Return the body of a successful response of bounded size."""
    body = bytearray()
    with (
        httpx.Client(timeout=REQUEST_TIMEOUT_S, trust_env=False) as client,
        client.stream("GET", url) as response,
    ):
        if response.status_code != httpx.codes.OK:
            fail(f"{url} returned status {response.status_code}")
        for chunk in response.iter_bytes():
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                fail(f"the response from {url} is larger than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
