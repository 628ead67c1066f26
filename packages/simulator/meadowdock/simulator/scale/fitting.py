"""Slopes: which simple function of the fleet's size fits the measured values, and where it leads."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from functools import partial

from meadowdock.simulator.scale.places import TARGET


def line(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """(intercept, slope) of the line through the values."""
    found = statistics.linear_regression(sizes, values)
    return found.intercept, found.slope


# In order of simplicity: a form must miss by a point less than the simpler ones to be taken, and
# what grows a little is not called constant.
CONSTANT = 6  # most percent that a constant may miss by
FORMS = {
    "a": (lambda sizes, values: (statistics.mean(values), 0.0), lambda a, b, n: a),
    "a + b n": (line, lambda a, b, n: a + b * n),
    "a n + b n^2": (
        lambda sizes, values: line(sizes, [v / n for n, v in zip(sizes, values, strict=True)]),
        lambda a, b, n: a * n + b * n * n,
    ),
}


def miss_percent(form: str, sizes: Sequence[float], values: Sequence[float]) -> float:
    """How far off a form is at the largest size when that is left out of its fit."""
    learn, tell = FORMS[form]
    guess = tell(*learn(sizes[:-1], values[:-1]), sizes[-1])
    return 100 * abs(guess - values[-1]) / max(abs(values[-1]), 1e-9)


def fit(sizes: Sequence[float], values: Sequence[float]) -> dict:
    """The form that is nearest at the largest size when that is left out; then fitted to all sizes.
    Gives form, a, b, how far off (percent) it was there, and its value at TARGET's nodes.

    >>> found = fit([10, 20, 40, 80], [10 * 3 + 2 * 100, 860, 3320, 13040])
    >>> found["form"], round(found["a"], 6), round(found["b"], 6), found["miss_percent"] < 1e-6
    ('a n + b n^2', 3.0, 2.0, True)
    """
    misses = {form: miss_percent(form, sizes, values) for form in FORMS}
    if line(sizes, values)[1] < 0:
        misses = {"a": misses["a"]}  # what falls with size isn't followed down
    elif misses["a"] > CONSTANT:
        del misses["a"]
    form = next(f for f in misses if misses[f] <= min(misses.values()) + 1)
    learn, tell = FORMS[form]
    a, b = learn(sizes, values)
    n = TARGET["nodes"]
    return {"form": form, "a": a, "b": b, "miss_percent": misses[form], "at": tell(a, b, n)}


def told_by(found: dict) -> Callable[[float], float]:
    """The function of n that a fit is."""
    return partial(FORMS[found["form"]][1], found["a"], found["b"])


def crossing(tell: Callable[[float], float], bound: float) -> int | None:
    """The smallest whole n at which a rising function is over a bound, or None below 100,000."""
    low, high = 1, 100_000
    if tell(high) <= bound:
        return None
    while low < high:
        middle = (low + high) // 2
        if tell(middle) > bound:
            high = middle
        else:
            low = middle + 1
    return low
