"""Distributes a route's requests over its services by weight, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from meadowdock.configuration.items import ItemRoute


class TrafficSplit:
    """Smooth weighted round-robin as in nginx.

    In any sequence of requests each service gets its share to within one request.

    Invariants: credits has at most one entry per route, for the version that was used last; the
    credits of an entry add up to 0 between two requests.
    """

    def __init__(self) -> None:
        self.credits: dict[tuple[str, int], dict[str, float]] = {}

    def service_for(self, route: ItemRoute) -> str | None:
        """Return the service of the route's next request; None if all weights are 0."""
        split = route.traffic_split
        if len(split) == 1:
            only: tuple[str, float] = split[0]
            return only[0] if only[1] > 0 else None
        credit = self.route_credits(route)
        total = sum(weight for _, weight in split)
        if total <= 0:
            return None
        for service, weight in split:
            credit[service] += weight
        chosen: str = max(
            (service for service, weight in split if weight > 0), key=credit.__getitem__
        )
        credit[chosen] -= total
        return chosen

    def route_credits(self, route: ItemRoute) -> dict[str, float]:
        """Return the credit of each service of a route, and forget those of other versions."""
        credit = self.credits.get((route.name, route.version))
        if credit is None:
            for key in [key for key in self.credits if key[0] == route.name]:
                del self.credits[key]
            credit = {service: 0.0 for service, _ in route.traffic_split}
            self.credits[route.name, route.version] = credit
        return credit
