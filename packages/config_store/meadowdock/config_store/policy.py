"""Which machines should be the voters: pure functions of what is known about each."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import combinations

from meadowdock.consensus import FailureDomain, Tolerance

SMALL_FLEET = 5  # up to so many processes all are voters


@dataclass(frozen=True)
class Observed:
    """The voters' addresses, and what is known about them and about others that could vote."""

    voters: frozenset[str]
    silent: tuple[str, ...] = ()  # voters that may be replaced
    leaving: tuple[str, ...] = ()  # voters that were asked to stop
    dead: tuple[str, ...] = ()  # voters that may be left out without a replacement
    quiet: frozenset[str] = frozenset()  # voters that may be about to be replaced
    candidates: tuple[str, ...] = ()
    places: Mapping[str, FailureDomain] = None

    def place(self, address: str) -> FailureDomain:
        """Where an address runs, as far as known."""
        return (self.places or {}).get(address, FailureDomain())


def choose_voters(observed: Observed, tolerance: Tolerance) -> frozenset[str]:
    """Replace voters that are gone, grow to the wanted number, spread over zones and regions.

    >>> zones = {"a": FailureDomain("x"), "b": FailureDomain("y"), "c": FailureDomain("z"), "d": FailureDomain("y"), "e": FailureDomain("x")}
    >>> gone = Observed(frozenset("abc"), silent=("a",), candidates=("d", "e"), places=zones)
    >>> sorted(choose_voters(gone, Tolerance(1)))
    ['b', 'c', 'd', 'e']
    >>> sorted(choose_voters(gone, Tolerance(1, 1)))
    ['b', 'c', 'd', 'e']
    """
    chosen, left = replace_gone(observed)
    if not observed.quiet & chosen:
        # who comes in beside one that is gone makes a majority harder, not easier
        chosen, left = grow(chosen, left, observed, tolerance)
        if not observed.silent and not observed.leaving:
            chosen = spread_out(chosen, left, observed, tolerance)
    return leave_out_dead(chosen, observed, tolerance)


def replace_gone(observed):
    """(voters with a candidate for each that is gone, the candidates left)."""
    chosen, left = set(observed.voters), list(observed.candidates)
    for gone in (*observed.silent, *observed.leaving):
        if not left:
            break
        chosen.remove(gone)
        chosen.add(take_least_crowded(chosen, left, observed))
    return chosen, left


def grow(chosen, left, observed, tolerance):
    """Add voters up to the wanted number."""
    room = wanted_voters(len(chosen) + len(left), tolerance) - len(chosen)
    for _ in range(min(room, len(left))):
        chosen.add(take_least_crowded(chosen, left, observed))
    return chosen, left


def take_least_crowded(chosen, left, observed):
    """Removes and gives the candidate whose zone, then region, has the fewest of those chosen."""
    zones = Counter(observed.place(a).zone for a in chosen)
    regions = Counter(observed.place(a).region for a in chosen)

    def crowd(address):
        place = observed.place(address)
        return zones[place.zone], regions[place.region], address

    best = min(left, key=crowd)
    left.remove(best)
    return best


def wanted_voters(known: int, tolerance: Tolerance) -> int:
    """How many voters, of so many processes.

    >>> [wanted_voters(n, Tolerance(1)) for n in (1, 4, 5, 6)], wanted_voters(9, Tolerance(2))
    ([1, 4, 5, 3], 5)
    """
    if known <= SMALL_FLEET:
        return known
    return min(known, fewest_voters(tolerance))


def fewest_voters(tolerance):
    """The least number of voters that bears the losses."""
    return max(3, 2 * max(tolerance.disks, tolerance.zones, tolerance.regions) + 1)


def spread_out(chosen, left, observed, tolerance):
    """Exchange or leave out voters until the loss of as many zones (regions) as are tolerated
    leaves a majority, as far as the machines allow it.

    >>> zones = {"a": FailureDomain("x"), "b": FailureDomain("x"), "c": FailureDomain("y"), "d": FailureDomain("z")}
    >>> seen = Observed(frozenset("abc"), places=zones)
    >>> sorted(spread_out({"a", "b", "c"}, ["d"], seen, Tolerance(1, 1)))
    ['a', 'c', 'd']
    """
    chosen = frozenset(chosen)
    while excess(chosen, observed, tolerance):
        swaps = [chosen - {old} | {new} for old in chosen for new in left]
        spare = len(chosen) - fewest_voters(tolerance)
        fewer = [chosen - set(out) for n in (1, 2) if n <= spare for out in combinations(chosen, n)]

        def cost(option):
            changed = len(option ^ observed.voters)
            return excess(option, observed, tolerance), changed, sorted(option)

        best = min([*swaps, *fewer], key=cost, default=chosen)
        if excess(best, observed, tolerance) >= excess(chosen, observed, tolerance):
            break
        chosen = best
    return set(chosen)


def excess(chosen, observed, tolerance):
    """How many voters too many sit in the most crowded zones and regions.

    >>> places = {"a": FailureDomain("x"), "b": FailureDomain("x"), "c": FailureDomain("y")}
    >>> excess("abc", Observed(frozenset("abc"), places=places), Tolerance(1, 1))
    1
    """
    minority = (len(chosen) - 1) // 2
    total = 0
    for kind, lost in (("zone", tolerance.zones), ("region", tolerance.regions)):
        names = [getattr(observed.place(address), kind) for address in chosen]
        if lost == 0 or "" in names:
            continue
        crowded = sum(count for _, count in Counter(names).most_common(lost))
        total += max(0, crowded - minority)
    return total


def leave_out_dead(chosen, observed, tolerance):
    """Leave out voters that are gone where that makes others spare."""
    dead = [address for address in observed.dead if address in chosen]
    dropped = droppable(len(chosen), len(dead), 2 * tolerance.disks + 1)
    return frozenset(set(chosen) - set(dead[:dropped]))


def droppable(voters, dead, floor):
    """How many of the dead to leave out, so that most of the living may still be lost.

    >>> droppable(4, 1, 3), droppable(5, 1, 3), droppable(5, 2, 3), droppable(5, 2, 5)
    (1, 0, 2, 0)
    """
    fewer = range(max(0, min(dead, voters - floor)) + 1)
    return max(fewer, key=lambda k: (voters - dead - ((voters - k) // 2 + 1), -k))
