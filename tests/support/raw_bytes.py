"""Bytes of a connection to a simulated gate, sent and read as they are."""

from __future__ import annotations

from meadowdock.runtime import SECOND, sleep_us


def hosts(world):
    return list(world.application)


async def send_raw_bytes(world, data, wait=SECOND):
    """The bytes sent as they are; gives (status or None, was the connection closed)."""
    caller = await world.caller(hosts(world)[0])
    answers = []

    class Any:
        def on_data(self, data):
            answers.append(data)

        def on_end(self, cause):
            answers.append(None)

    caller.wire.owner = Any()
    caller.wire.send(data)
    await sleep_us(wait)
    closed = None in answers
    text = b"".join(a for a in answers if a)
    caller.wire.close()
    return (int(text.split()[1]) if text else None), closed, text
