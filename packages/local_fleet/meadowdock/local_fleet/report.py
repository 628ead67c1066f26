"""Figures from callers' rows: [stream, proxy, intended, took, code, verdict, key]."""

from __future__ import annotations

from collections import Counter


def percentile(values, share):
    """
    >>> percentile([1, 2, 3, 4], 0.5), percentile([], 0.5)
    (2, None)
    """
    held = sorted(values)
    return held[max(0, -(-len(held) * share // 1).__int__() - 1)] if held else None


def summary(rows, seconds):
    """Per stream: calls, rate, codes, verdicts, and percentiles from the intended time."""
    streams = sorted({row[0] for row in rows})
    return {stream: figures([r for r in rows if r[0] == stream], seconds) for stream in streams}


def figures(rows, seconds):
    served = [row[3] for row in rows if row[5] == "ran"]
    return {
        "calls": len(rows),
        "rate": round(len(rows) / seconds, 1),
        "codes": dict(Counter(row[4] for row in rows)),
        "verdicts": dict(Counter(row[5] for row in rows)),
        **{f"p{n}_us": percentile(served, n / 100) for n in (50, 95, 99)},
    }


def table(found):
    lines = [
        "| stream | calls | per s | codes | p50 ms | p95 ms | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {name} | {f['calls']} | {f['rate']} | "
        + ", ".join(f"{code}: {n}" for code, n in sorted(f["codes"].items()))
        + " | "
        + " | ".join(
            "-" if f[p] is None else f"{f[p] / 1000:.1f}" for p in ("p50_us", "p95_us", "p99_us")
        )
        + " |"
        for name, f in found.items()
    ]
    return "\n".join(lines)
