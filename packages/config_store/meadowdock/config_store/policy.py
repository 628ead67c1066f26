"""The choice of voters: pure functions of what is known about each process.

Voters that failed or are leaving are replaced, voters are added up to the number that the tolerated
losses require, and they are spread over failure domains, so that the loss of a zone or a region
leaves a majority.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations

from meadowdock.consensus import FailureDomain, Tolerance

SMALL_DEPLOYMENT = 5  # up to this many processes, all of them vote
FEWEST_VOTERS = 3
REMOVED_TOGETHER = (1, 2)  # how many voters one step of spread_out may remove


@dataclass(frozen=True)
class ObservedMembers:
    """What is known about the voters and about other processes that could vote, by address."""

    voters: frozenset[str]
    failed: tuple[str, ...] = ()  # voters that may be replaced
    leaving: tuple[str, ...] = ()  # voters that were asked to stop
    removable: tuple[str, ...] = ()  # voters that may be removed without a replacement
    suspected: frozenset[str] = frozenset()  # voters that may be about to be replaced
    candidates: tuple[str, ...] = ()
    failure_domains: Mapping[str, FailureDomain] = field(default_factory=dict)

    def failure_domain(self, address: str) -> FailureDomain:
        """Return the failure domain of an address, as far as it is known."""
        return self.failure_domains.get(address, FailureDomain())


def choose_voters(observed: ObservedMembers, tolerance: Tolerance) -> frozenset[str]:
    """Return the addresses that should be the voters.

    >>> x, y, z = FailureDomain("x"), FailureDomain("y"), FailureDomain("z")
    >>> zones = {"a": x, "b": y, "c": z, "d": y, "e": x}
    >>> observed = ObservedMembers(
    ...     frozenset("abc"), failed=("a",), candidates=("d", "e"), failure_domains=zones
    ... )
    >>> sorted(choose_voters(observed, Tolerance(1)))
    ['b', 'c', 'd', 'e']
    >>> sorted(choose_voters(observed, Tolerance(1, 1)))
    ['b', 'c', 'd', 'e']
    """
    candidates = list(observed.candidates)
    chosen = replace_failed(observed, candidates)
    if not observed.suspected & chosen:
        # A suspected voter may have failed; an additional one then makes a majority harder to reach.
        add_voters(chosen, candidates, observed, tolerance)
        if not observed.failed and not observed.leaving:
            chosen = spread_out(chosen, candidates, observed, tolerance)
    return remove_failed(chosen, observed, tolerance)


def replace_failed(observed: ObservedMembers, candidates: list[str]) -> set[str]:
    """Return the voters, with a candidate in the place of each that failed or is leaving.

    Chosen candidates are removed from `candidates`.
    """
    chosen = set(observed.voters)
    for replaced in (*observed.failed, *observed.leaving):
        if not candidates:
            break
        chosen.remove(replaced)
        chosen.add(take_least_crowded(chosen, candidates, observed))
    return chosen


def add_voters(
    chosen: set[str], candidates: list[str], observed: ObservedMembers, tolerance: Tolerance
) -> None:
    """Move candidates to the chosen voters, up to the wanted number of voters."""
    lacking = wanted_voters(len(chosen) + len(candidates), tolerance) - len(chosen)
    for _ in range(min(lacking, len(candidates))):
        chosen.add(take_least_crowded(chosen, candidates, observed))


def take_least_crowded(
    chosen: Collection[str], candidates: list[str], observed: ObservedMembers
) -> str:
    """Remove and return the candidate whose zone, then region, has the fewest chosen voters."""
    zones = Counter(observed.failure_domain(address).zone for address in chosen)
    regions = Counter(observed.failure_domain(address).region for address in chosen)

    def crowding(address: str) -> tuple[int, int, str]:
        domain = observed.failure_domain(address)
        return zones[domain.zone], regions[domain.region], address

    best = min(candidates, key=crowding)
    candidates.remove(best)
    return best


def wanted_voters(known: int, tolerance: Tolerance) -> int:
    """Return how many voters a deployment with this number of known processes should have.

    >>> [wanted_voters(n, Tolerance(1)) for n in (1, 4, 5, 6)], wanted_voters(9, Tolerance(2))
    ([1, 4, 5, 3], 5)
    """
    if known <= SMALL_DEPLOYMENT:
        return known
    return min(known, fewest_voters(tolerance))


def fewest_voters(tolerance: Tolerance) -> int:
    """Return the smallest number of voters that survives the tolerated losses."""
    return max(FEWEST_VOTERS, 2 * max(tolerance.disks, tolerance.zones, tolerance.regions) + 1)


def spread_out(
    voters: Collection[str],
    candidates: Collection[str],
    observed: ObservedMembers,
    tolerance: Tolerance,
) -> set[str]:
    """Exchange or remove voters until they survive the tolerated losses of zones and regions.

    A loss is survived if the remaining voters are a majority. The function stops early if no
    exchange or removal improves the spread.

    >>> x, y, z = FailureDomain("x"), FailureDomain("y"), FailureDomain("z")
    >>> zones = {"a": x, "b": x, "c": y, "d": z}
    >>> observed = ObservedMembers(frozenset("abc"), failure_domains=zones)
    >>> sorted(spread_out({"a", "b", "c"}, ["d"], observed, Tolerance(1, 1)))
    ['a', 'c', 'd']
    """
    chosen = frozenset(voters)

    def cost(option: frozenset[str]) -> tuple[int, int, list[str]]:
        changed = len(option ^ observed.voters)
        return excess(option, observed, tolerance), changed, sorted(option)

    while excess(chosen, observed, tolerance):
        options = alternatives(chosen, candidates, fewest_voters(tolerance))
        best = min(options, key=cost, default=chosen)
        if excess(best, observed, tolerance) >= excess(chosen, observed, tolerance):
            break
        chosen = best
    return set(chosen)


def alternatives(
    chosen: frozenset[str], candidates: Collection[str], fewest: int
) -> Iterator[frozenset[str]]:
    """Yield the sets of voters that result from one exchange, or from removing one or two voters.

    :param fewest: a removal leaves at least this many voters
    """
    for removed in chosen:
        for added in candidates:
            yield chosen - {removed} | {added}
    for count in REMOVED_TOGETHER:
        if count <= len(chosen) - fewest:
            for removed_together in combinations(chosen, count):
                yield chosen - set(removed_together)


def excess(chosen: Collection[str], observed: ObservedMembers, tolerance: Tolerance) -> int:
    """Return by how many voters the most crowded zones and regions exceed a minority.

    >>> x, y = FailureDomain("x"), FailureDomain("y")
    >>> zones = {"a": x, "b": x, "c": y}
    >>> observed = ObservedMembers(frozenset("abc"), failure_domains=zones)
    >>> excess("abc", observed, Tolerance(1, 1))
    1
    """
    minority = (len(chosen) - 1) // 2
    domains = [observed.failure_domain(address) for address in chosen]
    zones = domain_excess([domain.zone for domain in domains], tolerance.zones, minority)
    regions = domain_excess([domain.region for domain in domains], tolerance.regions, minority)
    return zones + regions


def domain_excess(names: list[str], lost: int, minority: int) -> int:
    """Return how far the loss of the most crowded domains exceeds a minority of the voters.

    It is 0 if no such loss has to be tolerated, or if the domain of a voter is unknown.

    :param names: the voters' domains of one kind: zones or regions
    :param lost: how many domains may be lost
    """
    if lost == 0 or "" in names:
        return 0
    crowded = sum(count for _, count in Counter(names).most_common(lost))
    return max(0, crowded - minority)


def remove_failed(
    chosen: Collection[str], observed: ObservedMembers, tolerance: Tolerance
) -> frozenset[str]:
    """Remove failed voters where that lets the others tolerate more losses."""
    removable = [address for address in observed.removable if address in chosen]
    count = removable_count(len(chosen), len(removable), 2 * tolerance.disks + 1)
    return frozenset(set(chosen) - set(removable[:count]))


def removable_count(voters: int, failed: int, fewest: int) -> int:
    """Return how many failed voters to remove so that the rest tolerates the most losses.

    >>> removable_count(4, 1, 3), removable_count(5, 1, 3)
    (1, 0)
    >>> removable_count(5, 2, 3), removable_count(5, 2, 5)
    (2, 0)
    """
    counts = range(max(0, min(failed, voters - fewest)) + 1)

    def tolerated_losses(count: int) -> int:
        majority = (voters - count) // 2 + 1
        return voters - failed - majority

    return max(counts, key=lambda count: (tolerated_losses(count), -count))
