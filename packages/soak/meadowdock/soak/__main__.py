"""Command line of mdsoak: real processes on loopback sockets under overlapping faults."""

from __future__ import annotations

import os
import signal
import sys
import tempfile

import fire

from meadowdock.soak.soak import Plan, run_soak


class Commands:
    """Each soak runs on a loopback network of its own, 127.66.x.*, and ends what it started."""

    def run(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 10.0,
        troubles: int = 8,
        folder: str | None = None,
    ) -> None:
        """Run one soak per seed, one after the other; the exit status is 1 after any violation."""
        folder = folder or tempfile.mkdtemp(prefix="mdsoak")
        failed = 0
        for seed in range(first, first + seeds):
            run_folder = os.path.join(folder, str(seed))
            result = run_soak(seed, Plan(seconds, troubles), f"127.66.{seed % 250}", run_folder)
            print(result, flush=True)
            if result.violations:
                failed += 1
                print("\n".join(f"  {fault}" for fault in result.faults))
                print("\n".join(f"  BROKEN {violation}" for violation in result.violations[:20]))
                print(f"  logs in {run_folder}/logs", flush=True)
        print(f"{seeds} soaks, {failed} broken")
        sys.exit(1 if failed else 0)


def main() -> None:
    """Run the command line."""
    # Raise KeyboardInterrupt on SIGTERM too, so that the processes of the fleet are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fire.Fire(Commands(), name="mdsoak")


if __name__ == "__main__":
    main()
