"""What crash tests of a store compare: states, batches that change them, and the states that are allowed."""

from __future__ import annotations

import random

from sagetrack.store.engine import Store
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

State = dict[tuple[str, bytes], bytes]  # values by key space and key
Batch = list[Record]

SMALL_STORE = StoreOptions(segment_bytes=700, max_bytes=1_000_000)


def state_of(store: Store) -> State:
    """All values that a store holds now."""
    snapshot = store.snapshot()
    try:
        return {
            (record.space, record.key): record.value
            for record in snapshot.items()
            if record.value is not None
        }
    finally:
        snapshot.close()


def state_after(state: State, batch: Batch) -> State:
    """A copy of a state with a batch applied to it."""
    new_state = dict(state)
    for record in batch:
        if record.value is None:
            new_state.pop((record.space, record.key), None)
        else:
            new_state[record.space, record.key] = record.value
    return new_state


def random_batch(rng: random.Random, keys: int = 12) -> Batch:
    """One to three changes, a fifth of them deletions, of so many keys in two spaces."""
    batch = []
    for _ in range(rng.randint(1, 3)):
        value = None if rng.random() < 0.2 else rng.randbytes(rng.randint(0, 20))
        batch.append(Record(rng.choice("ab"), b"k%d" % rng.randrange(keys), value, 5))
    return batch


class ExpectedStates:
    """Which states a store may recover to, by number of the last batch: one, or several where writes failed.

    A batch whose writing failed or was cut short may be there after all, unless another one took its place.
    """

    def __init__(self) -> None:
        self._written: list[State] = [{}]  # by number of the batch
        self._possible: dict[int, list[State]] = {}
        self._acknowledged = 0

    @property
    def newest(self) -> State:
        """The state after all that was written without an error."""
        return self._written[-1]

    def begin_write(self, batches: list[Batch]) -> None:
        """Batches are about to be written: from now on they may be found."""
        state = self.newest
        for batch_number, batch in enumerate(batches, len(self._written)):
            state = state_after(state, batch)
            self._possible.setdefault(batch_number, []).append(state)

    def end_write(self, batches: list[Batch]) -> None:
        """Those batches were written without an error."""
        for batch in batches:
            self._written.append(state_after(self.newest, batch))

    def acknowledge(self, batch_number: int) -> None:
        """All batches up to this number are durable: they must be found."""
        self._acknowledged = batch_number
        self._possible = {later: states for later, states in self._possible.items() if later > batch_number}

    def check_recovered(self, batch_number: int, state: State) -> str | None:
        """Compare what a store recovered to, and go on from it.

        Returns:
            What is wrong with it; None if it is allowed.
        """
        if batch_number < self._acknowledged:
            return f"{self._acknowledged} was acknowledged, {batch_number} is there"
        allowed = list(self._possible.get(batch_number, []))
        if batch_number < len(self._written):
            allowed.append(self._written[batch_number])
        if state not in allowed:
            return f"not the state after batch {batch_number}"
        known = self._written[:batch_number]
        self._written = [*known, *[state] * (batch_number + 1 - len(known))]
        self._possible.clear()
        self._acknowledged = batch_number
        return None
