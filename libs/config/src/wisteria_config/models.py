"""The configuration document: client accounts, keys, services, routes.

The metadata of each field holds its meaning and its bounds. Validation and
docs/CONFIGURATION.md are both derived from it.
"""

import functools
import hashlib
import hmac

import attrs

from wisteria_core import Priority

from . import const
from .constraints import Flag, IntegerRange, Names, NumberRange, OneOf, PriorityName, Text, about
from .paths import RouteIndex

NAME = Text(
    const.NAME_PATTERN,
    "a name of 1 to 63 lower-case letters, digits, dots, underscores and hyphens that starts "
    "and ends with a letter or digit",
)
RATE = IntegerRange(1, const.MAX_RATE_PER_S)
BURST = IntegerRange(1, const.MAX_BURST_CALLS)
WEIGHT = IntegerRange(1, const.MAX_WEIGHT)
TIMEOUT_MS = IntegerRange(1, const.MAX_DEADLINE_MS)


@attrs.frozen
class Account:
    """A client account with its limits across the whole fleet."""

    name: str = attrs.field(metadata=about("Name, unique; `public` is reserved.", NAME))
    rate_per_s: int = attrs.field(metadata=about("Sustained rate, calls/s, over all VMs.", RATE))
    burst: int = attrs.field(metadata=about("Calls admitted at once above the rate.", BURST))
    weight: int = attrs.field(
        default=const.DEFAULT_WEIGHT,
        metadata=about("Share of a busy queue, relative to other accounts.", WEIGHT),
    )
    priority: Priority | None = attrs.field(
        default=None,
        metadata=about(
            "Order among accounts under overload; takes precedence over the route's priority.",
            PriorityName(),
        ),
    )


@attrs.frozen
class PublicPolicy:
    """Limits of the built-in account that calls of open routes run under."""

    rate_per_s: int = attrs.field(metadata=about("Sustained rate, calls/s, over all VMs.", RATE))
    burst: int = attrs.field(metadata=about("Calls admitted at once above the rate.", BURST))
    weight: int = attrs.field(
        default=1, metadata=about("Share of a busy queue, relative to other accounts.", WEIGHT)
    )


@attrs.frozen
class KeyRecord:
    """A key of a client account, stored as its digest."""

    id: str = attrs.field(metadata=about("Name for operators, unique; not the key itself.", NAME))
    sha256: str = attrs.field(
        metadata=about(
            "SHA-256 digest of the key, unique. Keys are ASCII.",
            Text(const.SHA256_PATTERN, "64 lower-case hexadecimal digits"),
        )
    )
    account: str = attrs.field(metadata=about("Client account that the key belongs to.", NAME))


@attrs.frozen
class Service:
    """A service whose backend servers the daemons protect."""

    name: str = attrs.field(metadata=about("Name, unique.", NAME))
    retry_ratio: float = attrs.field(
        default=const.DEFAULT_RETRY_RATIO,
        metadata=about("Retries allowed for each first attempt, on average.", NumberRange(0, 1)),
    )
    concurrency_min: int = attrs.field(
        default=const.DEFAULT_CONCURRENCY_MIN,
        metadata=about(
            "Lower bound of the concurrency limit of a backend server, calls in flight.",
            IntegerRange(1, const.MAX_CONCURRENCY),
        ),
    )
    concurrency_max: int = attrs.field(
        default=const.DEFAULT_CONCURRENCY_MAX,
        metadata=about(
            "Upper bound of the concurrency limit of a backend server, calls in flight; at least "
            "`concurrency_min`.",
            IntegerRange(1, const.MAX_CONCURRENCY),
        ),
    )
    connections_max: int = attrs.field(
        default=const.DEFAULT_CONNECTIONS_MAX,
        metadata=about(
            "Maximum connections to one backend server.", IntegerRange(1, const.MAX_CONNECTIONS)
        ),
    )
    crash_limit: int = attrs.field(
        default=const.DEFAULT_CRASH_LIMIT,
        metadata=about(
            "Backend server crashes across the fleet after which a request suspected of them is "
            "refused permanently.",
            IntegerRange(1, const.MAX_CRASHES),
        ),
    )
    health_path: str = attrs.field(
        default=const.DEFAULT_HEALTH_PATH,
        metadata=about(
            "Path of the health endpoint; not polled, as daemons use the path in their settings.",
            Text(const.HEALTH_PATH_PATTERN, 'a path such as "/healthz"'),
        ),
    )
    cold_rate_per_s: float = attrs.field(
        default=const.DEFAULT_COLD_RATE_PER_S,
        metadata=about(
            "Calls per second that a backend server takes while it is cold; 0 for no limit.",
            NumberRange(0, const.MAX_RATE_PER_S),
        ),
    )
    cold_start_ms: int = attrs.field(
        default=const.DEFAULT_COLD_START_MS,
        metadata=about(
            "Time for which a backend server is cold after its start, in milliseconds.",
            IntegerRange(0, const.MAX_COLD_START_MS),
        ),
    )


@attrs.frozen
class SplitPart:
    """One of the services that the calls of a route are split among."""

    service: str = attrs.field(metadata=about("Service that answers.", NAME))
    weight: int = attrs.field(
        metadata=about(
            "Share of the calls, relative to the other entries.",
            IntegerRange(0, const.MAX_SPLIT_WEIGHT),
        )
    )


@attrs.frozen
class Route:
    """The policy for calls that match a method and a path pattern."""

    id: str = attrs.field(metadata=about("Name, unique.", NAME))
    service: str = attrs.field(
        metadata=about("Service that answers; not used with `split`, but required.", NAME)
    )
    method: str = attrs.field(metadata=about("HTTP method, or `ANY`.", OneOf(const.METHODS)))
    path: str = attrs.field(
        metadata=about(
            "Pattern, matched by whole segments as a prefix; `{name}` stands for any one "
            "segment. The longest match wins, and a literal segment wins over `{name}`. A pattern "
            "that ends with a slash matches only paths with at least a slash after the prefix.",
            Text(const.PATH_PATTERN, 'a path such as "/stalls/{stall}/status", without query'),
        )
    )
    open: bool = attrs.field(
        default=False,
        metadata=about("Needs no key; runs under the public account.", Flag()),
    )
    repeatable: bool = attrs.field(
        default=False,
        metadata=about(
            "May run more than once; otherwise callers send `Idempotency-Key` and it runs at "
            "most once.",
            Flag(),
        ),
    )
    priority: Priority = attrs.field(
        default=Priority.NORMAL, metadata=about("Order under overload.", PriorityName())
    )
    deadline_ms: int = attrs.field(
        default=const.DEFAULT_DEADLINE_MS,
        metadata=about(
            "Maximum duration of a call, ms; a caller may request a shorter one.",
            IntegerRange(1, const.MAX_DEADLINE_MS),
        ),
    )
    retry_allowance: int = attrs.field(
        default=const.DEFAULT_RETRY_ALLOWANCE,
        metadata=about(
            "Retries for one request across its whole call chain.",
            IntegerRange(0, const.MAX_RETRY_ALLOWANCE),
        ),
    )
    long_download: bool = attrs.field(
        default=False,
        metadata=about("Streams a long response; only for a repeatable GET.", Flag()),
    )
    stall_ms: int = attrs.field(
        default=const.DEFAULT_STALL_MS,
        metadata=about(
            "Time without received data after which a long download counts as stalled, ms.",
            IntegerRange(1, const.MAX_STALL_MS),
        ),
    )
    accounts: tuple[str, ...] = attrs.field(
        default=(),
        metadata=about("Client accounts that may call; all if omitted.", Names(NAME)),
    )
    host: str = attrs.field(
        default="",
        metadata=about(
            "Host of the calls, case-insensitive; any if omitted. A route with a host takes "
            "precedence over one without.",
            Text(const.HOST_PATTERN, 'a host name such as "yields.example"'),
        ),
    )
    split: tuple[SplitPart, ...] = attrs.field(
        default=(),
        metadata=about("Services that the calls are split among; only `service` if omitted."),
    )
    target_ms: int = attrs.field(
        default=0,
        metadata=about(
            "Target response time, after which an answer loses value to the caller, ms; 0 for no "
            "target. Callers above their rate are told to retry within half of it.",
            IntegerRange(0, const.MAX_DEADLINE_MS),
        ),
    )

    def permits(self, account: str) -> bool:
        """Return whether callers of `account` may use this route."""
        return not self.accounts or account in self.accounts


@attrs.frozen
class RequestLimits:
    """Limits on the size of requests and the time to send them."""

    header_bytes: int = attrs.field(
        default=const.DEFAULT_HEADER_BYTES,
        metadata=about("Longest request head, bytes.", IntegerRange(1, const.MAX_HEADER_BYTES)),
    )
    body_bytes: int = attrs.field(
        default=const.DEFAULT_BODY_BYTES,
        metadata=about("Longest request body, bytes.", IntegerRange(1, const.MAX_BODY_BYTES)),
    )
    header_timeout_ms: int = attrs.field(
        default=const.DEFAULT_HEADER_TIMEOUT_MS,
        metadata=about("Longest time for a request to arrive, ms.", TIMEOUT_MS),
    )
    idle_timeout_ms: int = attrs.field(
        default=const.DEFAULT_IDLE_TIMEOUT_MS,
        metadata=about(
            "Time after which an idle connection of a caller is closed, ms.", TIMEOUT_MS
        ),
    )


@attrs.frozen
class DomainRecord:
    """A failure domain that gets a share of every account rate."""

    name: str = attrs.field(metadata=about("Name, unique, as in the list of VMs.", NAME))


@attrs.frozen
class Document:
    """The configuration document. Lists are sorted by name."""

    schema: int = attrs.field(
        metadata=about("Schema of the document.", IntegerRange(const.SCHEMA, const.SCHEMA))
    )
    version: int = attrs.field(
        metadata=about(
            "Rises with each change; a lower version never replaces a higher one.",
            IntegerRange(1, const.MAX_VERSION),
        )
    )
    public: PublicPolicy = attrs.field(metadata=about("Account for open routes."))
    failure_domains: tuple[DomainRecord, ...] = attrs.field(
        default=(),
        metadata=about(
            "Failure domains, at least one. Every VM divides rates equally among these, "
            "independently of its list of VMs."
        ),
    )
    accounts: tuple[Account, ...] = attrs.field(default=(), metadata=about("Client accounts."))
    keys: tuple[KeyRecord, ...] = attrs.field(default=(), metadata=about("Keys of accounts."))
    services: tuple[Service, ...] = attrs.field(default=(), metadata=about("Services."))
    routes: tuple[Route, ...] = attrs.field(default=(), metadata=about("Route policies."))
    limits: RequestLimits = attrs.field(
        default=RequestLimits(), metadata=about("Bounds on requests of callers.")
    )

    @functools.cached_property
    def _accounts_by_name(self) -> dict[str, Account]:
        accounts = {account.name: account for account in self.accounts}
        accounts[const.PUBLIC_ACCOUNT] = Account(
            const.PUBLIC_ACCOUNT, self.public.rate_per_s, self.public.burst, self.public.weight
        )
        return accounts

    @functools.cached_property
    def _priority_ranks(self) -> dict[Priority | None, int]:
        """Rank of each priority that an account states; accounts without one come last."""
        stated = {account.priority for account in self.accounts}
        ordered = sorted(stated, key=lambda one: len(Priority) if one is None else int(one))
        return {priority: place for place, priority in enumerate(ordered)}

    @functools.cached_property
    def _keys_by_digest(self) -> dict[str, KeyRecord]:
        return {key.sha256: key for key in self.keys}

    @functools.cached_property
    def _services_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _route_indexes(self) -> "dict[str, RouteIndex[Route]]":
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        return {
            host: RouteIndex.build((route.method, route.path, route) for route in routes)
            for host, routes in hosts.items()
        }

    def find_account(self, name: str) -> Account | None:
        """Return the client account of that name; ``public`` is the account of open routes."""
        return self._accounts_by_name.get(name)

    def resolve_priority(self, account: str, route: Route) -> Priority:
        """Return the priority of a call from the priorities of its account and its route.

        If all accounts state the same priority, or none, the route's applies. Otherwise the
        account's takes precedence: calls of the accounts with the highest stated priority come
        before all others, and in each of these two groups calls of urgent routes come first.
        """
        ranks = self._priority_ranks
        if len(ranks) < 2:
            return route.priority
        found = self._accounts_by_name.get(account)
        lowest = len(Priority) // 2 - 1
        place = lowest if found is None else min(ranks.get(found.priority, lowest), lowest)
        return Priority(2 * place + int(route.priority is not Priority.URGENT))

    def find_service(self, name: str) -> Service | None:
        """Return the service of that name."""
        return self._services_by_name.get(name)

    def find_key(self, presented: str) -> KeyRecord | None:
        """Return the record of the key that a caller presents, or None if it is unknown.

        The lookup is by digest, which a caller cannot choose, and the stored digest is compared
        in constant time, so that timing reveals nothing about valid keys.
        """
        if not presented.isascii():
            return None
        sha256 = hashlib.sha256(presented.encode()).hexdigest()
        record = self._keys_by_digest.get(sha256)
        if record is None or not hmac.compare_digest(record.sha256, sha256):
            return None
        return record

    def holds_key(self, key_id: str, sha256: str) -> bool:
        """Return whether a key that was accepted earlier is still valid and unchanged."""
        record = self._keys_by_digest.get(sha256)
        return record is not None and record.id == key_id

    def match_route(
        self, method: str, path: str, host: str = "", *, decodes: bool = True
    ) -> Route | None:
        """Return the route with the longest pattern that matches, or None.

        Parameters
        ----------
        method : str
            HTTP method in upper case.
        path : str
            Request target in origin form; a query is ignored. A path that servers may
            interpret differently (dot segments, empty segments, encoded separators) matches
            no route.
        host : str
            Host header of the request; routes without a host match any.
        decodes : bool
            Whether patterns match the decoded path, or the path as it was sent.
        """
        for name in (host.lower(), "") if host else ("",):
            index = self._route_indexes.get(name)
            if index is None:
                continue
            route = index.find(method, path, const.ANY_METHOD, decodes=decodes)
            if route is not None:
                return route
        return None


@attrs.frozen
class DocumentError:
    """One error in a document.

    Parameters
    ----------
    place : str
        JSON path of the invalid value; ``$`` is the whole document.
    problem : str
        What is wrong and what is allowed; never contains a key.
    """

    place: str
    problem: str


@attrs.frozen
class DocumentErrors:
    """All errors found in a document, which is refused as a whole."""

    errors: tuple[DocumentError, ...]

    def __str__(self) -> str:
        return "; ".join(f"{error.place}: {error.problem}" for error in self.errors)
