"""Two kinds of requests that together need twice the capacity of an endpoint."""

from __future__ import annotations

from gates import LIMITS
from item_builders import route, service
from overloads import Demand

from meadowdock.runtime import MILLISECOND, SECOND

SLOTS, SPAN = 17, 4 * SECOND  # slots of the endpoint, duration of the load

# Together they need twice the endpoint's capacity. The long requests have the lowest priority, as on
# the simulated days with the lowest scores; the short ones have a higher one and use a third of the
# slots.
LONG = Demand(b"/long/", 160, 150 * MILLISECOND, 0.3, 400 * MILLISECOND, 1500 * MILLISECOND, 2)
SHORT = Demand(
    b"/short/", 340, 15 * MILLISECOND, 0.5, 60 * MILLISECOND, 200 * MILLISECOND, 0, retries=0
)


def items_of(*demands):
    """Return the items of a configuration with one route for each demand."""
    return [
        service("desk"),
        *(
            route(
                demand.prefix.strip(b"/").decode(),
                prefix=demand.prefix.decode(),
                aim_us=demand.aim_us,
                priority=demand.priority,
            )
            for demand in demands
        ),
        LIMITS,
    ]
