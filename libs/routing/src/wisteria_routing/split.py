"""Divides the calls of a route among several services in fixed proportions."""

import attrs


@attrs.define
class TrafficSplitter:
    """Smooth weighted turns, one sequence for each route.

    Over any run of calls each service gets its part to within one call, whatever becomes of
    the calls: one that has no room for its part refuses it rather than pass it on.
    """

    _credits: dict[str, dict[str, int]] = attrs.field(init=False, factory=dict)

    def choose(self, route: str, parts: tuple[tuple[str, int], ...]) -> str:
        """Return the service for the next call of `route`.

        Parameters
        ----------
        parts : tuple of (str, int)
            Services and their weights, of which one at least is above 0.
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
