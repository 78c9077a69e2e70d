"""Every result code has an HTTP status and a unique number."""

from wisteria_core import ResultCode, http_status


def test_every_code_has_an_http_status() -> None:
    statuses = {code: http_status(code) for code in ResultCode}
    assert all(200 <= status < 600 for status in statuses.values())


def test_numbers_are_unique() -> None:
    assert len(ResultCode.__members__) == len(set(ResultCode))
