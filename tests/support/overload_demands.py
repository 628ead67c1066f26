"""Two kinds of requests that ask for twice what an endpoint can do."""

from __future__ import annotations

from gates import LIMITS
from item_builders import route, service
from overloads import Demand

from meadowdock.runtime import MILLISECOND, SECOND

SLOTS, SPAN = 17, 4 * SECOND


# twice what the endpoint can do; the long requests are of the lowest rank, as on the days that
# earned least, and short ones of a higher rank use a third of the slots
LONG = Demand(b"/long/", 160, 150 * MILLISECOND, 0.3, 400 * MILLISECOND, 1500 * MILLISECOND, 2)


SHORT = Demand(
    b"/short/", 340, 15 * MILLISECOND, 0.5, 60 * MILLISECOND, 200 * MILLISECOND, 0, retries=0
)


def items_of(*demands):
    return [
        service("desk"),
        *(
            route(
                d.prefix.strip(b"/").decode(),
                prefix=d.prefix.decode(),
                aim_us=d.aim_us,
                priority=d.priority,
            )
            for d in demands
        ),
        LIMITS,
    ]
