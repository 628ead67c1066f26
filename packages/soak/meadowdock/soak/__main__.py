"""mdsoak: real processes on loopback sockets under overlapping faults."""

from __future__ import annotations

import os
import signal
import sys
import tempfile

import fire

from meadowdock.soak.soak import Plan, soak


class Commands:
    """Each soak takes its processes on one loopback net, 127.66.x.*, and ends what it started."""

    def run(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 10.0,
        troubles: int = 8,
        folder: str | None = None,
    ) -> None:
        """Soak under so many seeds, one after the other; exit status 1 if anything is broken."""
        folder = folder or tempfile.mkdtemp(prefix="mdsoak")
        broken = 0
        for seed in range(first, first + seeds):
            place = os.path.join(folder, str(seed))
            result = soak(seed, Plan(seconds, troubles), f"127.66.{seed % 250}", place)
            print(result, flush=True)
            if result.broken:
                broken += 1
                print("\n".join(f"  {fault}" for fault in result.faults))
                print("\n".join(f"  BROKEN {what}" for what in result.broken[:20]))
                print(f"  logs in {place}/logs", flush=True)
        print(f"{seeds} soaks, {broken} broken")
        sys.exit(1 if broken else 0)


def main() -> None:
    """The command line."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # what was started is ended
    fire.Fire(Commands(), name="mdsoak")


if __name__ == "__main__":
    main()
