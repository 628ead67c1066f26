"""Statistics of calls.

A row of a caller's report is [stream, proxy, intended start, duration, code, verdict, key], with
times in microseconds.
"""

from __future__ import annotations

from collections import Counter


def percentile(values, share):
    """Return the smallest value that is not below the given share of all values.

    >>> percentile([1, 2, 3, 4], 0.5), percentile([], 0.5)
    (2, None)
    """
    ordered = sorted(values)
    return ordered[max(0, -(-len(ordered) * share // 1).__int__() - 1)] if ordered else None


def summary(rows, seconds):
    """Return the statistics of each stream's calls; durations count from the intended start."""
    streams = sorted({row[0] for row in rows})
    return {
        stream: call_statistics([row for row in rows if row[0] == stream], seconds)
        for stream in streams
    }


def call_statistics(rows, seconds):
    """Return the number, rate, codes, verdicts and latency percentiles of the calls of some rows."""
    served = [row[3] for row in rows if row[5] == "ran"]
    return {
        "calls": len(rows),
        "rate": round(len(rows) / seconds, 1),
        "codes": dict(Counter(row[4] for row in rows)),
        "verdicts": dict(Counter(row[5] for row in rows)),
        **{f"p{n}_us": percentile(served, n / 100) for n in (50, 95, 99)},
    }


def table(statistics_by_stream):
    """Return the result of summary as a Markdown table."""
    lines = [
        "| stream | calls | per s | codes | p50 ms | p95 ms | p99 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {stream} | {statistics['calls']} | {statistics['rate']} | "
        + ", ".join(f"{code}: {count}" for code, count in sorted(statistics["codes"].items()))
        + " | "
        + " | ".join(
            "-" if statistics[key] is None else f"{statistics[key] / 1000:.1f}"
            for key in ("p50_us", "p95_us", "p99_us")
        )
        + " |"
        for stream, statistics in statistics_by_stream.items()
    ]
    return "\n".join(lines)
