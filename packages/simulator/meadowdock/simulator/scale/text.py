"""Formatting of numbers, formulas and tables for docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def format_number(value: float | None) -> str:
    """Format a number with three significant digits, or without decimals from 100 on.

    >>> format_number(0.012345), format_number(3.211), format_number(45678.9), format_number(None)
    ('0.0123', '3.21', '45,679', 'none')
    """
    if value is None:
        return "none"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def format_series(sizes: Sequence[int], values: Sequence[float]) -> str:
    """Format values with the sizes at which they were measured.

    >>> format_series([1, 8], [2.5, 3])
    '2.5 at 1, 3 at 8'
    """
    return ", ".join(f"{format_number(v)} at {n}" for n, v in zip(sizes, values, strict=True))


def formula(fitted: dict) -> str:
    """Format a fit as a formula of n.

    >>> formula({"form": "a + b n", "a": 2, "b": -0.5}), formula({"form": "a", "a": 2, "b": 0})
    ('2 - 0.5 n', '2')
    """
    a, b = f"{round(fitted['a'], 9) + 0.0:.3g}", f"{abs(fitted['b']):.3g}"
    sign = "-" if fitted["b"] < 0 else "+"
    return {
        "a": a,
        "a + b n": f"{a} {sign} {b} n",
        "a n + b n^2": f"{a} n {sign} {b} n^2",
    }[fitted["form"]]


def markdown_table(head: Sequence[str], rows: Iterable[Sequence]) -> str:
    """Format a table in Markdown."""
    return "\n".join(
        [
            "| " + " | ".join(head) + " |",
            "|" + "---|" * len(head),
            *("| " + " | ".join(map(str, row)) + " |" for row in rows),
        ]
    )
