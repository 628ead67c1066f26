"""Send raw bytes to a simulated gateway and read its response."""

from __future__ import annotations

from meadowdock.runtime import SECOND, sleep_us


def hosts(world):
    return list(world.application)


async def send_raw_bytes(world, data, wait=SECOND):
    """Send bytes to the first gateway and wait for a while.

    Return the status (None without response), whether the gateway closed the connection, and all
    bytes received.
    """
    caller = await world.caller(hosts(world)[0])
    received = []

    class Receiver:
        def on_data(self, data):
            received.append(data)

        def on_end(self, cause):
            received.append(None)

    caller.wire.owner = Receiver()
    caller.wire.send(data)
    await sleep_us(wait)
    closed = None in received
    response = b"".join(piece for piece in received if piece)
    caller.wire.close()
    return (int(response.split()[1]) if response else None), closed, response
