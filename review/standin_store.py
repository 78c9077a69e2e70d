"""Stand-in of the platform's store."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Callable
from urllib.parse import parse_qs

from standin_http import Reply, Request, Server

ERA = "1"
PAGE_ITEMS = 500


class Store:
    """Items, change events and watches.

    Parameters
    ----------
    loses : callable
        Tells for each answer, by path and query, whether it is lost: the connection then returns
        nothing further.
    """

    def __init__(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self.server = Server(host, port, self._handle)
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.loses: Callable[[str, dict], bool] = lambda path, query: False
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": 0,
        }
        self._note(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "tombstone": True})

    def _note(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Reply:
        path, _, text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        status, body = await self._answer(path, query)
        if self.loses(path, query):
            return Reply(is_silent=True)
        headers = {"Content-Type": "application/json", "Store-Era": ERA}
        return Reply(status, headers, json.dumps(body).encode())

    async def _answer(self, path: str, query: dict) -> tuple[int, dict]:
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            found = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": found, "more_pages": more, "as_of": self.revision}
        if path == "/kv-watch":
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query: dict) -> dict:
        prefix, after = query.get("prefix", ""), int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1_000):
                while True:
                    events = [
                        event
                        for event in self.events
                        if event["revision"] > after and event["key"].startswith(prefix)
                    ]
                    if events:
                        return {"events": events, "as_of": self.revision}
                    await self._changed.wait()
        return {"events": [], "as_of": self.revision}
