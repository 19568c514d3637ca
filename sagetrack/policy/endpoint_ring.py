"""A ring of servers sorted by rank, which starts at the gateway's own position and is updated in place.

Updating one server costs a binary search and a shift of list elements. The ring is sorted again only if a
large part of the servers changes at once.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")
SORT_FRACTION = 16  # if more than one item in 16 has changed, sorting the whole ring is cheaper
# Weights are summed as integer multiples of 1 / UNIT. This is exact for weights above 2**-11, as a float has
# 53 significant bits.
UNIT = 2.0**64


@dataclass(slots=True, frozen=True)
class RingPosition(Generic[Item]):
    """An item's position in the ring."""

    rank: float  # constant while the item is in the ring
    item: Item
    scopes: tuple[Hashable, ...] = ()  # the groups of items that this item belongs to


class Ring(Generic[Item]):
    """Items sorted by rank, and by number if ranks are equal. `ranked` starts at the gateway's own position.

    The gateways' positions are evenly spaced, so that each server is used by about the same number of
    gateways. `ranked` always equals `order[first:] + order[:first]`, where `first` is the gateway's position.
    """

    def __init__(self, gateway: int, gateways: int) -> None:
        self._gateway, self._gateways = gateway, gateways
        self.ranked: list[Item] = []  # always the same list object
        self._positions: dict[int, RingPosition[Item]] = {}  # positions by item number
        self._order: list[tuple[float, int]] = []  # rank and number of every item
        self._scopes: dict[Hashable, list[tuple[float, int]]] = {}  # the same for the items of each scope
        self._first = 0

    def within(self, scope: Hashable) -> Iterator[Item]:
        """Return the items of a scope in the order of `ranked`, without visiting the others."""
        order = self._scopes.get(scope, [])
        first = bisect_left(order, self._order[self._first]) if order else 0
        for at in range(first, first + len(order)):
            yield self._positions[order[at % len(order)][1]].item

    def change(self, positions: Mapping[int, RingPosition[Item] | None]) -> None:
        """Set the positions of items, given by number; None removes an item."""
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
        """Return the index in `ranked` of the item at index `at` in `_order`."""
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
        """Rotate `ranked` after one insertion or removal, which moves its start by at most one."""
        first = self._gateway * len(self._order) // self._gateways
        if self._first < first:
            self.ranked.append(self.ranked.pop(0))
        elif self._first > first:
            self.ranked.insert(0, self.ranked.pop())
        self._first = first


class ExactSum:
    """A sum of weights in exact integer arithmetic, so that rounding errors do not accumulate."""

    def __init__(self) -> None:
        self._units = 0

    def change(self, old: float, new: float) -> None:
        """Change one weight from `old` to `new`; 0 stands for an absent weight."""
        self._units += int(new * UNIT) - int(old * UNIT)

    @property
    def total(self) -> float:
        """The sum, rounded to a float."""
        return self._units / int(UNIT)
