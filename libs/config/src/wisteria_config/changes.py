"""Describe the differences between two documents as sentences for operators."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

import attrs

from wisteria_core import Priority

from .models import Account, Document, KeyRecord, PublicPolicy, Route, Service

T = TypeVar("T")


@attrs.frozen
class Quantity:
    """Display name and unit of a numeric field."""

    noun: str
    unit: str = ""


_QUANTITIES = {
    "rate_per_s": Quantity("rate", " calls/s"),
    "burst": Quantity("burst", " calls"),
    "weight": Quantity("weight"),
    "retry_ratio": Quantity("retry ratio"),
    "concurrency_min": Quantity("minimum concurrency limit", " calls"),
    "concurrency_max": Quantity("maximum concurrency limit", " calls"),
    "connections_max": Quantity("connection limit"),
    "crash_limit": Quantity("crash limit"),
    "cold_rate_per_s": Quantity("rate of cold backend servers", " calls/s"),
    "cold_start_ms": Quantity("cold time after a start", " ms"),
    "deadline_ms": Quantity("deadline", " ms"),
    "retry_allowance": Quantity("retry allowance"),
    "stall_ms": Quantity("stall timeout", " ms"),
    "target_ms": Quantity("latency target", " ms"),
    "header_bytes": Quantity("header size limit", " bytes"),
    "body_bytes": Quantity("body size limit", " bytes"),
    "header_timeout_ms": Quantity("request timeout", " ms"),
    "idle_timeout_ms": Quantity("idle timeout", " ms"),
}

_FLAGS = {
    "open": ("opens {}: it needs no key any more", "closes {}: it needs a key from now on"),
    "repeatable": (
        "declares {} repeatable: it may run more than once",
        "declares {} not repeatable: it runs at most once",
    ),
    "long_download": ("declares {} a long download", "declares {} no long download"),
}


def describe_changes(old: Document, new: Document) -> tuple[str, ...]:
    """Return one sentence for each change that replacing `old` by `new` makes."""
    return (
        *_compare_public(old.public, new.public),
        *_compare_domains(old, new),
        *_compare(old.accounts, new.accounts, _account_name, _describe_account, _change_account),
        *_compare(old.keys, new.keys, _key_name, _describe_key, _change_key),
        *_compare(old.services, new.services, _service_name, _describe_service, _change_service),
        *_compare(old.routes, new.routes, _route_name, _describe_route, _change_route),
        *_change_quantities(old.limits, new.limits, "requests"),
    )


def _compare(
    old: Iterable[T],
    new: Iterable[T],
    name: Callable[[T], str],
    describe: Callable[[T, bool], str],
    change: Callable[[T, T], Iterator[str]],
) -> Iterator[str]:
    before = {name(part): part for part in old}
    after = {name(part): part for part in new}
    for key in sorted(before.keys() - after.keys()):
        yield describe(before[key], False)
    for key in sorted(after.keys() - before.keys()):
        yield describe(after[key], True)
    for key in sorted(before.keys() & after.keys()):
        if before[key] != after[key]:
            yield from change(before[key], after[key])


def _compare_domains(old: Document, new: Document) -> Iterator[str]:
    before = {domain.name for domain in old.failure_domains}
    after = {domain.name for domain in new.failure_domains}
    for name in sorted(before - after):
        yield f"removes failure domain {name}: its share of every rate goes to the others"
    for name in sorted(after - before):
        yield f"adds failure domain {name}: it gets an equal share of every rate"


def _account_name(account: Account) -> str:
    return account.name


def _key_name(key: KeyRecord) -> str:
    return key.id


def _service_name(service: Service) -> str:
    return service.name


def _route_name(route: Route) -> str:
    return route.id


def _describe_account(account: Account, added: bool) -> str:
    if not added:
        return f"removes client account {account.name}"
    allowance = f"{account.rate_per_s} calls/s, burst {account.burst}, weight {account.weight}"
    return f"adds client account {account.name}: {allowance}"


def _describe_key(key: KeyRecord, added: bool) -> str:
    if added:
        return f"grants key {key.id} to client account {key.account}"
    return f"withdraws key {key.id} of client account {key.account}"


def _describe_service(service: Service, added: bool) -> str:
    return f"{'adds' if added else 'removes'} service {service.name}"


def _describe_route(route: Route, added: bool) -> str:
    call = f"{route.method} {route.path}"
    if not added:
        return f"removes route {route.id} ({call})"
    kind = "open" if route.open else "keyed"
    repeats = "repeatable" if route.repeatable else "at most once"
    priority = route.priority.name.lower()
    return f"adds route {route.id} ({call} of {route.service}): {kind}, {repeats}, {priority}"


def _compare_public(old: PublicPolicy, new: PublicPolicy) -> Iterator[str]:
    yield from _change_quantities(old, new, "open routes")


def _change_account(old: Account, new: Account) -> Iterator[str]:
    yield from _change_quantities(old, new, f"client account {new.name}")
    if old.priority != new.priority:
        before, after = _name_priority(old.priority), _name_priority(new.priority)
        yield f"changes priority of client account {new.name} from {before} to {after}"


def _name_priority(priority: Priority | None) -> str:
    return "that of the route" if priority is None else priority.name.lower()


def _change_key(old: KeyRecord, new: KeyRecord) -> Iterator[str]:
    if old.account != new.account:
        yield f"moves key {new.id} from client account {old.account} to {new.account}"
    if old.sha256 != new.sha256:
        yield f"replaces the secret of key {new.id}: the former secret is withdrawn"


def _change_service(old: Service, new: Service) -> Iterator[str]:
    yield from _change_quantities(old, new, f"service {new.name}")
    if old.health_path != new.health_path:
        path = new.health_path or "the daemon's own setting"
        yield f"moves the health endpoint of service {new.name} to {path}"


def _change_route(old: Route, new: Route) -> Iterator[str]:
    subject = f"route {new.id}"
    if old.service != new.service:
        yield f"moves {subject} from service {old.service} to {new.service}"
    if (old.method, old.path) != (new.method, new.path):
        call = f"{old.method} {old.path} to {new.method} {new.path}"
        yield f"changes the calls of {subject} from {call}"
    if old.host != new.host:
        yield f"moves {subject} from host {old.host or 'any'} to {new.host or 'any'}"
    if old.split != new.split:
        yield f"divides {subject} among {_describe_split(new)}, formerly {_describe_split(old)}"
    for field, (on_text, off_text) in _FLAGS.items():
        if getattr(old, field) != getattr(new, field):
            yield (on_text if getattr(new, field) else off_text).format(subject)
    if old.priority != new.priority:
        yield _change_priority(old.priority, new.priority, subject)
    yield from _change_quantities(old, new, subject)
    yield from _change_accounts(old, new)


def _describe_split(route: Route) -> str:
    parts = [f"{part.service} {part.weight}" for part in route.split]
    return ", ".join(parts) or f"{route.service} alone"


def _change_priority(old: Priority, new: Priority, subject: str) -> str:
    verb = "raises" if new < old else "lowers"
    return f"{verb} priority of {subject} from {old.name.lower()} to {new.name.lower()}"


def _change_accounts(old: Route, new: Route) -> Iterator[str]:
    if old.accounts == new.accounts:
        return
    if not new.accounts:
        yield f"lets every client account call route {new.id}"
        return
    if not old.accounts:
        yield f"lets only {', '.join(new.accounts)} call route {new.id}"
        return
    for name in sorted(set(new.accounts) - set(old.accounts)):
        yield f"lets client account {name} call route {new.id}"
    for name in sorted(set(old.accounts) - set(new.accounts)):
        yield f"stops client account {name} from calling route {new.id}"


def _change_quantities(old: Any, new: Any, subject: str) -> Iterator[str]:
    for field in attrs.fields(type(new)):
        quantity = _QUANTITIES.get(field.name)
        before, after = getattr(old, field.name), getattr(new, field.name)
        if quantity is None or before == after:
            continue
        verb = "raises" if after > before else "lowers"
        yield f"{verb} {quantity.noun} of {subject} from {before} to {after}{quantity.unit}"
