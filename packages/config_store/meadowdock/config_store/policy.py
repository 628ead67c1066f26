"""Which processes should be the voters: pure functions of what is known about each.

Voters that failed or are leaving are replaced, voters are added up to the number that the tolerated
losses need, and they are spread over failure domains, so that the loss of a zone or a region leaves
a majority.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations

from meadowdock.consensus import FailureDomain, Tolerance

SMALL_DEPLOYMENT = 5  # up to so many processes all are voters
FEWEST_VOTERS = 3
REMOVED_TOGETHER = (1, 2)  # how many voters one step of the spreading may remove


@dataclass(frozen=True)
class ObservedMembers:
    """What is known about the voters, and about others that could vote, by their addresses."""

    voters: frozenset[str]
    failed: tuple[str, ...] = ()  # voters that may be replaced
    leaving: tuple[str, ...] = ()  # voters that were asked to stop
    removable: tuple[str, ...] = ()  # voters that may be removed without a replacement
    suspected: frozenset[str] = frozenset()  # voters that may be about to be replaced
    candidates: tuple[str, ...] = ()
    places: Mapping[str, FailureDomain] = field(default_factory=dict)

    def place(self, address: str) -> FailureDomain:
        """The failure domain of an address, as far as known."""
        return self.places.get(address, FailureDomain())


def choose_voters(observed: ObservedMembers, tolerance: Tolerance) -> frozenset[str]:
    """The addresses that should be the voters.

    >>> x, y, z = FailureDomain("x"), FailureDomain("y"), FailureDomain("z")
    >>> zones = {"a": x, "b": y, "c": z, "d": y, "e": x}
    >>> observed = ObservedMembers(
    ...     frozenset("abc"), failed=("a",), candidates=("d", "e"), places=zones
    ... )
    >>> sorted(choose_voters(observed, Tolerance(1)))
    ['b', 'c', 'd', 'e']
    >>> sorted(choose_voters(observed, Tolerance(1, 1)))
    ['b', 'c', 'd', 'e']
    """
    candidates = list(observed.candidates)
    chosen = replace_failed(observed, candidates)
    if not observed.suspected & chosen:
        # a voter added beside one that has failed makes a majority harder to reach, not easier
        add_voters(chosen, candidates, observed, tolerance)
        if not observed.failed and not observed.leaving:
            chosen = spread_out(chosen, candidates, observed, tolerance)
    return remove_failed(chosen, observed, tolerance)


def replace_failed(observed: ObservedMembers, candidates: list[str]) -> set[str]:
    """The voters with a candidate for each that failed or is leaving; it is taken out of the
    candidates."""
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
    """Move candidates to the chosen, up to the wanted number of voters."""
    lacking = wanted_voters(len(chosen) + len(candidates), tolerance) - len(chosen)
    for _ in range(min(lacking, len(candidates))):
        chosen.add(take_least_crowded(chosen, candidates, observed))


def take_least_crowded(
    chosen: Collection[str], candidates: list[str], observed: ObservedMembers
) -> str:
    """Remove and give the candidate whose zone, then region, has the fewest of those chosen."""
    zones = Counter(observed.place(address).zone for address in chosen)
    regions = Counter(observed.place(address).region for address in chosen)

    def crowd(address: str) -> tuple[int, int, str]:
        place = observed.place(address)
        return zones[place.zone], regions[place.region], address

    best = min(candidates, key=crowd)
    candidates.remove(best)
    return best


def wanted_voters(known: int, tolerance: Tolerance) -> int:
    """How many voters, of so many processes.

    >>> [wanted_voters(n, Tolerance(1)) for n in (1, 4, 5, 6)], wanted_voters(9, Tolerance(2))
    ([1, 4, 5, 3], 5)
    """
    if known <= SMALL_DEPLOYMENT:
        return known
    return min(known, fewest_voters(tolerance))


def fewest_voters(tolerance: Tolerance) -> int:
    """The least number of voters that bears the losses."""
    return max(FEWEST_VOTERS, 2 * max(tolerance.disks, tolerance.zones, tolerance.regions) + 1)


def spread_out(
    voters: Collection[str],
    candidates: Collection[str],
    observed: ObservedMembers,
    tolerance: Tolerance,
) -> set[str]:
    """Exchange or remove voters until the loss of as many zones (regions) as are tolerated leaves a
    majority, as far as the processes allow it.

    >>> x, y, z = FailureDomain("x"), FailureDomain("y"), FailureDomain("z")
    >>> observed = ObservedMembers(frozenset("abc"), places={"a": x, "b": x, "c": y, "d": z})
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
    """The sets of voters that one exchange leads to, or the removal of one or two voters that
    leaves the fewest that are needed."""
    for former in chosen:
        for new in candidates:
            yield chosen - {former} | {new}
    for count in REMOVED_TOGETHER:
        if count <= len(chosen) - fewest:
            for removed in combinations(chosen, count):
                yield chosen - set(removed)


def excess(chosen: Collection[str], observed: ObservedMembers, tolerance: Tolerance) -> int:
    """How many voters too many are in the most crowded zones and regions.

    >>> x, y = FailureDomain("x"), FailureDomain("y")
    >>> observed = ObservedMembers(frozenset("abc"), places={"a": x, "b": x, "c": y})
    >>> excess("abc", observed, Tolerance(1, 1))
    1
    """
    minority = (len(chosen) - 1) // 2
    places = [observed.place(address) for address in chosen]
    zones = domain_excess([place.zone for place in places], tolerance.zones, minority)
    regions = domain_excess([place.region for place in places], tolerance.regions, minority)
    return zones + regions


def domain_excess(names: list[str], lost: int, minority: int) -> int:
    """By how many voters the loss of the most crowded domains of a kind exceeds a minority; 0 if
    none need be borne, or a voter's domain isn't known."""
    if lost == 0 or "" in names:
        return 0
    crowded = sum(count for _, count in Counter(names).most_common(lost))
    return max(0, crowded - minority)


def remove_failed(
    chosen: Collection[str], observed: ObservedMembers, tolerance: Tolerance
) -> frozenset[str]:
    """Remove voters that failed where that lets the others bear more losses."""
    removable = [address for address in observed.removable if address in chosen]
    count = removable_count(len(chosen), len(removable), 2 * tolerance.disks + 1)
    return frozenset(set(chosen) - set(removable[:count]))


def removable_count(voters: int, failed: int, fewest: int) -> int:
    """How many of the failed voters to remove, so that most of the others may still be lost.

    >>> removable_count(4, 1, 3), removable_count(5, 1, 3)
    (1, 0)
    >>> removable_count(5, 2, 3), removable_count(5, 2, 5)
    (2, 0)
    """
    counts = range(max(0, min(failed, voters - fewest)) + 1)

    def losses_borne(count: int) -> int:
        majority = (voters - count) // 2 + 1
        return voters - failed - majority

    return max(counts, key=lambda count: (losses_borne(count), -count))
