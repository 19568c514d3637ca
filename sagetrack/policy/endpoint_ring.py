"""Servers in the order of their ranks, seen from one proxy's own place on, and changed in place. Pure.

What a changed server costs does not grow with the others: its place is found by halving. Only where a good
part of all change together is everything put in order anew, which then costs each of the changed ones a bit.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")
SOME = 16  # of so many one has changed: from there on putting all in order is the lesser work
UNIT = 2.0**64  # of weights, which are above 2**-11: every bit of one is in a whole number of these


@dataclass(slots=True, frozen=True)
class RingPosition(Generic[Item]):
    """Where an item belongs in the ring."""

    rank: float  # for as long as it is there
    item: Item
    scopes: tuple[Hashable, ...] = ()  # which it shares with others


class Ring(Generic[Item]):
    """Items by rank, and among equal ranks by number. `ranked` begins at the proxy's own place.

    The proxies' places are at an even distance from each other, so that none is nearer to some servers than
    its number makes it: `ranked` is always `order[first:] + order[:first]` with `first` the proxy's part.
    """

    def __init__(self, proxy: int, proxies: int) -> None:
        self._proxy, self._proxies = proxy, proxies
        self.ranked: list[Item] = []  # the same list for good
        self._places: dict[int, RingPosition[Item]] = {}  # by the item's number
        self._order: list[tuple[float, int]] = []  # rank and number of all
        self._scopes: dict[Hashable, list[tuple[float, int]]] = {}  # the same of those in each
        self._first = 0

    def within(self, scope: Hashable) -> Iterator[Item]:
        """Those in a scope, in the order of `ranked`; the others are not looked at."""
        order = self._scopes.get(scope, [])
        first = bisect_left(order, self._order[self._first]) if order else 0
        for at in range(first, first + len(order)):
            yield self._places[order[at % len(order)][1]].item

    def change(self, places: Mapping[int, RingPosition[Item] | None]) -> None:
        """Put items by their number where they belong now; None takes one out."""
        changed = {n: place for n, place in places.items() if place != self._places.get(n)}
        if len(changed) * SOME > len(self._order):
            self._sort(changed)
            return
        for number, place in changed.items():
            known = self._places.get(number)
            if place is not None and known is not None and place.rank == known.rank:
                self.ranked[self._seen_at(bisect_left(self._order, (place.rank, number)))] = place.item
                self._leave(number, known)
                self._enter(number, place)
                continue
            if known is not None:
                self._take_out(number, known)
            if place is not None:
                self._put_in(number, place)

    def _enter(self, number: int, place: RingPosition[Item]) -> None:
        self._places[number] = place
        for scope in place.scopes:
            insort(self._scopes.setdefault(scope, []), (place.rank, number))

    def _leave(self, number: int, place: RingPosition[Item]) -> None:
        del self._places[number]
        for scope in place.scopes:
            order = self._scopes[scope]
            del order[bisect_left(order, (place.rank, number))]
            if not order:
                del self._scopes[scope]

    def _sort(self, changed: Mapping[int, RingPosition[Item] | None]) -> None:
        for number, place in changed.items():
            if place is None:
                del self._places[number]
            else:
                self._places[number] = place
        self._order = sorted((place.rank, number) for number, place in self._places.items())
        self._first = first = self._proxy * len(self._order) // self._proxies
        seen = self._order[first:] + self._order[:first]
        self.ranked[:] = [self._places[number].item for _, number in seen]
        self._scopes = {}
        for rank, number in self._order:
            for scope in self._places[number].scopes:
                self._scopes.setdefault(scope, []).append((rank, number))

    def _seen_at(self, at: int) -> int:
        """Where in `ranked` something is that is at `at` in the order."""
        return at - self._first if at >= self._first else at - self._first + len(self._order)

    def _put_in(self, number: int, place: RingPosition[Item]) -> None:
        at = bisect_left(self._order, (place.rank, number))
        self.ranked.insert(self._seen_at(at), place.item)
        self._order.insert(at, (place.rank, number))
        self._enter(number, place)
        self._first += at < self._first
        self._turn()

    def _take_out(self, number: int, place: RingPosition[Item]) -> None:
        at = bisect_left(self._order, (place.rank, number))
        del self.ranked[self._seen_at(at)]
        del self._order[at]
        self._leave(number, place)
        self._first -= at < self._first
        self._turn()

    def _turn(self) -> None:
        """One item more or less moves the proxy's own place by one at the most."""
        first = self._proxy * len(self._order) // self._proxies
        if self._first < first:
            self.ranked.append(self.ranked.pop(0))
        elif self._first > first:
            self.ranked.insert(0, self.ranked.pop())
        self._first = first


class ExactSum:
    """The sum of weights that change one by one: without rounding, so that nothing adds up over time."""

    def __init__(self) -> None:
        self._units = 0

    def change(self, old: float, new: float) -> None:
        """A weight is `new` that was `old`; 0 for one that is not there."""
        self._units += int(new * UNIT) - int(old * UNIT)

    @property
    def total(self) -> float:
        """The sum, rounded once."""
        return self._units / int(UNIT)
