"""Servers in the order of their ranks, from one gateway's own position on, and changed in place.

The cost of a changed server is that of a binary search and of moving references. Only where a good part of
all change together is everything sorted anew.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")
SORT_FRACTION = 16  # of so many one has changed: from there on sorting all is less work
UNIT = 2.0**64  # of weights, which are above 2**-11: each is a whole number of these


@dataclass(slots=True, frozen=True)
class RingPosition(Generic[Item]):
    """An item's position in the ring."""

    rank: float  # does not change while the item is there
    item: Item
    scopes: tuple[Hashable, ...] = ()  # which it shares with others


class Ring(Generic[Item]):
    """Items by rank, and among equal ranks by number. `ranked` begins at the gateway's own position.

    The gateways' positions are at an even distance from each other, so that the servers get even numbers of
    gateways: `ranked` is always `order[first:] + order[:first]` with `first` the gateway's position.
    """

    def __init__(self, gateway: int, gateways: int) -> None:
        self._gateway, self._gateways = gateway, gateways
        self.ranked: list[Item] = []  # always the same list object
        self._positions: dict[int, RingPosition[Item]] = {}  # by the item's number
        self._order: list[tuple[float, int]] = []  # rank and number of all
        self._scopes: dict[Hashable, list[tuple[float, int]]] = {}  # the same of those in each
        self._first = 0

    def within(self, scope: Hashable) -> Iterator[Item]:
        """The items of a scope, in the order of `ranked`; the others are not visited."""
        order = self._scopes.get(scope, [])
        first = bisect_left(order, self._order[self._first]) if order else 0
        for at in range(first, first + len(order)):
            yield self._positions[order[at % len(order)][1]].item

    def change(self, positions: Mapping[int, RingPosition[Item] | None]) -> None:
        """Set the positions of items by their number; None removes one."""
        changed = {n: position for n, position in positions.items() if position != self._positions.get(n)}
        if len(changed) * SORT_FRACTION > len(self._order):
            self._sort(changed)
            return
        for number, position in changed.items():
            known = self._positions.get(number)
            if position is not None and known is not None and position.rank == known.rank:
                index = self._ranked_index(bisect_left(self._order, (position.rank, number)))
                self.ranked[index] = position.item
                self._remove_from_scopes(number, known)
                self._add_to_scopes(number, position)
                continue
            if known is not None:
                self._remove(number, known)
            if position is not None:
                self._insert(number, position)

    def _add_to_scopes(self, number: int, position: RingPosition[Item]) -> None:
        self._positions[number] = position
        for scope in position.scopes:
            insort(self._scopes.setdefault(scope, []), (position.rank, number))

    def _remove_from_scopes(self, number: int, position: RingPosition[Item]) -> None:
        del self._positions[number]
        for scope in position.scopes:
            order = self._scopes[scope]
            del order[bisect_left(order, (position.rank, number))]
            if not order:
                del self._scopes[scope]

    def _sort(self, changed: Mapping[int, RingPosition[Item] | None]) -> None:
        for number, position in changed.items():
            if position is None:
                del self._positions[number]
            else:
                self._positions[number] = position
        self._order = sorted((position.rank, number) for number, position in self._positions.items())
        self._first = first = self._gateway * len(self._order) // self._gateways
        ranked = self._order[first:] + self._order[:first]
        self.ranked[:] = [self._positions[number].item for _, number in ranked]
        self._scopes = {}
        for rank, number in self._order:
            for scope in self._positions[number].scopes:
                self._scopes.setdefault(scope, []).append((rank, number))

    def _ranked_index(self, at: int) -> int:
        """The index in `ranked` of what has the index `at` in the order."""
        return at - self._first if at >= self._first else at - self._first + len(self._order)

    def _insert(self, number: int, position: RingPosition[Item]) -> None:
        at = bisect_left(self._order, (position.rank, number))
        self.ranked.insert(self._ranked_index(at), position.item)
        self._order.insert(at, (position.rank, number))
        self._add_to_scopes(number, position)
        self._first += at < self._first
        self._rotate()

    def _remove(self, number: int, position: RingPosition[Item]) -> None:
        at = bisect_left(self._order, (position.rank, number))
        del self.ranked[self._ranked_index(at)]
        del self._order[at]
        self._remove_from_scopes(number, position)
        self._first -= at < self._first
        self._rotate()

    def _rotate(self) -> None:
        """Rotate `ranked`: one item more or less moves the gateway's position by one at the most."""
        first = self._gateway * len(self._order) // self._gateways
        if self._first < first:
            self.ranked.append(self.ranked.pop(0))
        elif self._first > first:
            self.ranked.insert(0, self.ranked.pop())
        self._first = first


class ExactSum:
    """The sum of weights that change one by one, without rounding, so that no error accumulates."""

    def __init__(self) -> None:
        self._units = 0

    def change(self, old: float, new: float) -> None:
        """Change one weight from `old` to `new`; 0 is one that is not there."""
        self._units += int(new * UNIT) - int(old * UNIT)

    @property
    def total(self) -> float:
        """The sum, rounded once."""
        return self._units / int(UNIT)
