"""Fetch one JSON object from a daemon's operators' port."""

import json
import re
from typing import Any

import httpx
import typer

from .const import MAX_ANSWER_BYTES, TIMEOUT_S
from .output import fail

_ADDRESS_PATTERN = re.compile(r"(?:\[[0-9a-fA-F:.]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})")
_MAX_PORT = 65_535


def check_address(address: str) -> str:
    """Return `address` when it has the form HOST:PORT.

    Raises
    ------
    typer.BadParameter
        When it has another form.
    """
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None or not 0 < int(match[1]) <= _MAX_PORT:
        raise typer.BadParameter(f"{address!r} is not HOST:PORT, such as 127.0.0.1:9090")
    return address


def fetch_object(address: str, path: str) -> dict[str, Any]:
    """Return the JSON object that the daemon at `address` answers for `path`."""
    url = f"http://{check_address(address)}{path}"
    try:
        raw = _fetch(url)
    except httpx.TimeoutException:
        fail(f"{address} gave no answer within {TIMEOUT_S:g} s")
    except httpx.HTTPError as error:
        fail(f"{address} does not answer: {error}; is the daemon running?")
    try:
        answer = json.loads(raw)
    except (ValueError, RecursionError):
        fail(f"the answer of {url} is not JSON; is this an operators' port?")
    if not isinstance(answer, dict):
        fail(f"the answer of {url} is not a JSON object; is this an operators' port?")
    return answer


def _fetch(url: str) -> bytes:
    """Return the body of a successful answer of bounded size."""
    body = bytearray()
    with (
        httpx.Client(timeout=TIMEOUT_S, trust_env=False) as client,
        client.stream("GET", url) as response,
    ):
        if response.status_code != httpx.codes.OK:
            fail(f"{url} answers with status {response.status_code}")
        for chunk in response.iter_bytes():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                fail(f"the answer of {url} is over {MAX_ANSWER_BYTES} bytes")
    return bytes(body)
