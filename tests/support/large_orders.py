"""Bodies of legal size that are no orders, or costly ones to parse, for the control plane."""

from __future__ import annotations

import json
import random
from collections.abc import Callable

NOISE_SEED = 50


def repeated(opening: str, value: str, closing: str, size: int) -> bytes:
    """Return a JSON text of about a size, with one value again and again."""
    count = max(1, (size - len(opening) - len(closing)) // (len(value.encode()) + 1))
    return (opening + ",".join([value] * count) + closing).encode()


def names(size: int) -> bytes:
    """Return an object of many names."""
    members = []
    total = 2
    number = 0
    while total < size:
        members.append(f'"{number:x}":1')
        total += len(members[-1]) + 1
        number += 1
    return ("{" + ",".join(members) + "}").encode()


def routes(size: int) -> bytes:
    """Return an order of many sound routes."""
    entries = []
    total = 0
    while total < size:
        number = len(entries)
        entries.append(
            json.dumps(
                {
                    "resourceType": "routeTable",
                    "metadata": {"name": f"many-{number}", "configVersion": "r9"},
                    "specification": {
                        "host": "a.example",
                        "pathPrefix": f"/many/{number}/",
                        "routeType": "non_idempotent",
                        "timeout": "5s",
                        "targetLatency": "1s",
                        "priority": 1,
                        "service": "desk",
                        "retryCount": 2,
                    },
                }
            )
        )
        total += len(entries[-1]) + 1
    return ('{"upsert":{"resourceList":[' + ",".join(entries) + "]}}").encode()


def nested(size: int) -> bytes:
    """Return lists nested as deep as the size allows."""
    return b"[" * (size // 2) + b"]" * (size // 2)


def noise(size: int) -> bytes:
    """Return random bytes."""
    return random.Random(NOISE_SEED).randbytes(size)


RESOURCES = '{"upsert":{"resourceList":['
ORDERS: dict[str, Callable[[int], bytes]] = {
    "list of numbers": lambda size: repeated("[", "1", "]", size),
    "list of fractions": lambda size: repeated("[", "1.5", "]", size),
    "list of lists": lambda size: repeated("[", "[]", "]", size),
    "list of objects": lambda size: repeated("[", "{}", "]", size),
    "list of texts": lambda size: repeated("[", '"ab"', "]", size),
    "resources that are empty": lambda size: repeated(RESOURCES, "{}", "]}}", size),
    "resources that are numbers": lambda size: repeated(RESOURCES, "7", "]}}", size),
    "removals that are empty": lambda size: repeated(
        '{"remove":{"routeTable":[', "{}", "]}}", size
    ),
    "object of names": names,
    "one text": lambda size: b'"' + b"x" * size + b'"',
    "one text beyond Latin": lambda size: ('"\U0001f600' + "x" * size + '"').encode(),
    "one text of escapes": lambda size: b'"' + b"\\ud83d\\ude00" * (size // 12) + b'"',
    "nested lists": nested,
    "noise": noise,
    "sound routes": routes,
}
