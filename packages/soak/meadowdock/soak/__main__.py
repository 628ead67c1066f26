"""Command line of mdsoak: real processes on loopback sockets under overlapping faults."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
from collections.abc import Callable

import fire

from meadowdock.soak.answer_soak import run_answer_soak
from meadowdock.soak.body_soak import run_body_soak
from meadowdock.soak.restart_soak import run_restart_soak
from meadowdock.soak.soak import Plan, Result, run_soak
from meadowdock.soak.start_soak import run_start_soak


def run_seeds(
    soak: Callable[[int, str, str], Result], seeds: int, first: int, net: str, folder: str | None
) -> None:
    """Run a soak for each seed and print its result; exit with 1 if any was broken.

    :param soak: takes the seed, the network and the folder of a run
    """
    folder = folder or tempfile.mkdtemp(prefix="mdsoak")
    failed = 0
    for seed in range(first, first + seeds):
        run_folder = os.path.join(folder, str(seed))
        result = soak(seed, f"{net}.{seed % 250}", run_folder)
        print(result, flush=True)
        if result.violations:
            failed += 1
            print("\n".join(f"  {fault}" for fault in result.faults))
            print("\n".join(f"  BROKEN {violation}" for violation in result.violations[:20]))
            print(f"  logs in {run_folder}/logs", flush=True)
    print(f"{seeds} soaks, {failed} broken")
    sys.exit(1 if failed else 0)


class Commands:
    """Each soak runs on a loopback network of its own, 127.66.x.* to 127.70.x.*, and ends its processes."""

    def run(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 10.0,
        troubles: int = 8,
        folder: str | None = None,
    ) -> None:
        """Run one soak per seed, one after the other; the exit status is 1 after any violation."""
        plan = Plan(seconds, troubles)

        def soak(seed: int, net: str, run_folder: str) -> Result:
            return run_soak(seed, plan, net, run_folder)

        run_seeds(soak, seeds, first, "127.66", folder)

    def restarts(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 10.0,
        proxies: int = 4,
        core: int = 3,
        calls_per_s: float = 60.0,
        folder: str | None = None,
    ) -> None:
        """Run one soak of planned work per seed; the exit status is 1 after any violation."""
        plan = Plan(seconds, 0, calls_per_s)

        def soak(seed: int, net: str, run_folder: str) -> Result:
            return run_restart_soak(seed, plan, net, run_folder, proxies, core)

        run_seeds(soak, seeds, first, "127.67", folder)

    def starts(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 3.0,
        proxies: int = 4,
        core: int = 3,
        calls_per_s: float = 60.0,
        folder: str | None = None,
    ) -> None:
        """Run one soak of the first start per seed; the exit status is 1 after any violation."""
        plan = Plan(seconds, 0, calls_per_s)

        def soak(seed: int, net: str, run_folder: str) -> Result:
            return run_start_soak(seed, plan, net, run_folder, proxies, core)

        run_seeds(soak, seeds, first, "127.68", folder)

    def answers(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 10.0,
        troubles: int = 10,
        proxies: int = 4,
        core: int = 3,
        calls_per_s: float = 60.0,
        folder: str | None = None,
    ) -> None:
        """Run one soak of endless and long answers per seed; the exit status is 1 after any violation."""
        plan = Plan(seconds, troubles, calls_per_s)

        def soak(seed: int, net: str, run_folder: str) -> Result:
            return run_answer_soak(seed, plan, net, run_folder, proxies, core)

        run_seeds(soak, seeds, first, "127.69", folder)

    def bodies(
        self,
        seeds: int = 10,
        first: int = 1,
        seconds: float = 10.0,
        troubles: int = 10,
        proxies: int = 4,
        core: int = 3,
        calls_per_s: float = 60.0,
        folder: str | None = None,
    ) -> None:
        """Run one soak of clients with large bodies per seed; the exit status is 1 after any violation."""
        plan = Plan(seconds, troubles, calls_per_s)

        def soak(seed: int, net: str, run_folder: str) -> Result:
            return run_body_soak(seed, plan, net, run_folder, proxies, core)

        run_seeds(soak, seeds, first, "127.70", folder)


def main() -> None:
    """Run the command line."""
    # Raise KeyboardInterrupt on SIGTERM too, so that the processes of the fleet are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fire.Fire(Commands(), name="mdsoak")


if __name__ == "__main__":
    main()
