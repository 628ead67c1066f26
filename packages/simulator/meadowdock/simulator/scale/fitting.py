"""Simple functions of the fleet's size fitted to measured values, and their extrapolation."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from functools import partial

from meadowdock.simulator.scale.places import TARGET


def linear_fit(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Return (intercept, slope) of the line through the values."""
    regression = statistics.linear_regression(sizes, values)
    return regression.intercept, regression.slope


# In order of simplicity: a form is chosen over simpler ones only if it misses by more than one
# percentage point less. The limit for constants keeps slow growth from counting as constant.
CONSTANT_MISS_MAX_PERCENT = 6
FORMS = {
    "a": (lambda sizes, values: (statistics.mean(values), 0.0), lambda a, b, n: a),
    "a + b n": (linear_fit, lambda a, b, n: a + b * n),
    "a n + b n^2": (
        lambda sizes, values: linear_fit(
            sizes, [v / n for n, v in zip(sizes, values, strict=True)]
        ),
        lambda a, b, n: a * n + b * n * n,
    ),
}


def miss_percent(form: str, sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return by how much a form misses the largest size when that is left out of its fit."""
    fit_parameters, evaluate = FORMS[form]
    predicted = evaluate(*fit_parameters(sizes[:-1], values[:-1]), sizes[-1])
    return 100 * abs(predicted - values[-1]) / max(abs(values[-1]), 1e-9)


def fit(sizes: Sequence[float], values: Sequence[float]) -> dict:
    """Fit the form that predicts the largest size best when that is left out; use all sizes then.

    Return the form, its parameters a and b, by how many percent it missed the largest size, and its
    value at TARGET's nodes.

    >>> fitted = fit([10, 20, 40, 80], [10 * 3 + 2 * 100, 860, 3320, 13040])
    >>> fitted["form"], round(fitted["a"], 6), round(fitted["b"], 6), fitted["miss_percent"] < 1e-6
    ('a n + b n^2', 3.0, 2.0, True)
    """
    misses = {form: miss_percent(form, sizes, values) for form in FORMS}
    if linear_fit(sizes, values)[1] < 0:
        misses = {"a": misses["a"]}  # a falling trend is not extrapolated below zero
    elif misses["a"] > CONSTANT_MISS_MAX_PERCENT:
        del misses["a"]
    form = next(f for f in misses if misses[f] <= min(misses.values()) + 1)
    fit_parameters, evaluate = FORMS[form]
    a, b = fit_parameters(sizes, values)
    n = TARGET["nodes"]
    return {"form": form, "a": a, "b": b, "miss_percent": misses[form], "at": evaluate(a, b, n)}


def fitted_function(fitted: dict) -> Callable[[float], float]:
    """Return a fit as a function of n."""
    return partial(FORMS[fitted["form"]][1], fitted["a"], fitted["b"])


def crossing(evaluate: Callable[[float], float], bound: float) -> int | None:
    """Return the smallest integer n at which a rising function exceeds a bound.

    Return None if that is not below 100,000.
    """
    low, high = 1, 100_000
    if evaluate(high) <= bound:
        return None
    while low < high:
        middle = (low + high) // 2
        if evaluate(middle) > bound:
            high = middle
        else:
            low = middle + 1
    return low
