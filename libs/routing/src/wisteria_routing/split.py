"""Splits the calls of a route among several services by fixed weights."""

import attrs


@attrs.define
class TrafficSplitter:
    """Smooth weighted round robin, with separate state for each route.

    Over any sequence of calls the share of each service is exact to within one call. Outcomes are
    not considered: a service that cannot take its share refuses the calls, and they are not
    shifted to another service.
    """

    _credits: dict[str, dict[str, int]] = attrs.field(init=False, factory=dict)

    def choose(self, route: str, parts: tuple[tuple[str, int], ...]) -> str:
        """Return the service for the next call of `route`.

        Parameters
        ----------
        parts : tuple of (str, int)
            Services and their weights; at least one weight is positive.
        """
        credits = self._credits.get(route)
        if credits is None or credits.keys() != {service for service, _ in parts}:
            credits = self._credits[route] = {service: 0 for service, _ in parts}
        total = 0
        for service, weight in parts:
            credits[service] += weight
            total += weight
        chosen = max((s for s, weight in parts if weight > 0), key=lambda s: credits[s])
        credits[chosen] -= total
        return chosen
