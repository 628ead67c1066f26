"""Signals that arrive while a process already stops."""

from __future__ import annotations

import signal

import pytest
from gates import gated

from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us, sleep_us


@pytest.mark.parametrize("again", (signal.SIGTERM, signal.SIGINT))
def test_a_second_sigterm_cuts_no_request_and_an_interrupt_ends_the_stop(again):
    async def scenario(world):
        host = next(iter(world.application))
        call = (await world.caller(host)).ask(b"/once/x")
        await sleep_us(10 * MILLISECOND)
        shutdown = world.node("mdproxy", host).shutdown
        stopped_at = monotonic_us()
        for number in (signal.SIGTERM, again, again):
            shutdown.on_signal(number)
            await sleep_us(10 * MILLISECOND)
        await call.done.wait()
        await world.stop(f"mdproxy@{host}")
        elapsed_us = monotonic_us() - stopped_at
        if again == signal.SIGTERM:
            assert call.status == 200 and elapsed_us > SECOND
        else:
            assert call.status == 502 and elapsed_us < 500 * MILLISECOND

    gated(scenario, application=("desk",), endpoint={"work_us": 600 * MILLISECOND})
