"""Numbers, formulas and tables as the page shows them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def shown(value: float | None) -> str:
    """A number as the page shows it.

    >>> shown(0.012345), shown(3.211), shown(45678.9), shown(None)
    ('0.0123', '3.21', '45,679', 'none')
    """
    if value is None:
        return "none"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def shown_series(sizes: Sequence[int], values: Sequence[float]) -> str:
    """Values with the sizes that they were measured at.

    >>> shown_series([1, 8], [2.5, 3])
    '2.5 at 1, 3 at 8'
    """
    return ", ".join(f"{shown(v)} at {n}" for n, v in zip(sizes, values, strict=True))


def formula(found: dict) -> str:
    """A fit as a formula of n.

    >>> formula({"form": "a + b n", "a": 2, "b": -0.5}), formula({"form": "a", "a": 2, "b": 0})
    ('2 - 0.5 n', '2')
    """
    a, b = f"{round(found['a'], 9) + 0.0:.3g}", f"{abs(found['b']):.3g}"
    sign = "-" if found["b"] < 0 else "+"
    return {
        "a": a,
        "a + b n": f"{a} {sign} {b} n",
        "a n + b n^2": f"{a} n {sign} {b} n^2",
    }[found["form"]]


def markdown(head: Sequence[str], rows: Iterable[Sequence]) -> str:
    """A table in Markdown."""
    return "\n".join(
        [
            "| " + " | ".join(head) + " |",
            "|" + "---|" * len(head),
            *("| " + " | ".join(map(str, row)) + " |" for row in rows),
        ]
    )
