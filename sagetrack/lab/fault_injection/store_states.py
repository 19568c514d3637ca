"""Expected states of a store in crash tests, and the random batches that change them."""

from __future__ import annotations

import random

from sagetrack.store.engine import Store
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

State = dict[tuple[str, bytes], bytes]  # all values of a store, by key space and key
Batch = list[Record]

SMALL_STORE = StoreOptions(segment_bytes=700, max_bytes=1_000_000)


def state_of(store: Store) -> State:
    """Return the current state of a store."""
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
    """Return a copy of a state with a batch applied to it."""
    new_state = dict(state)
    for record in batch:
        if record.value is None:
            new_state.pop((record.space, record.key), None)
        else:
            new_state[record.space, record.key] = record.value
    return new_state


def random_batch(rng: random.Random, keys: int = 12) -> Batch:
    """Return a batch of one to three changes of random keys in two key spaces; 20% are deletions."""
    batch = []
    for _ in range(rng.randint(1, 3)):
        value = None if rng.random() < 0.2 else rng.randbytes(rng.randint(0, 20))
        batch.append(Record(rng.choice("ab"), b"k%d" % rng.randrange(keys), value, 5))
    return batch


class ExpectedStates:
    """Tracks the states to which a store may recover, by number of the last batch.

    Several states are possible for a number if writes failed: a batch whose write failed or was interrupted
    may have been stored nevertheless, and another batch may have been written later under the same number.
    """

    def __init__(self) -> None:
        self._written: list[State] = [{}]  # states after successful writes, by number of the batch
        self._possible: dict[int, list[State]] = {}  # states after writes that were started, by batch number
        self._acknowledged = 0

    @property
    def newest(self) -> State:
        """The state after all successful writes."""
        return self._written[-1]

    def begin_write(self, batches: list[Batch]) -> None:
        """Record that batches are about to be written, so that the store may recover to them."""
        state = self.newest
        for batch_number, batch in enumerate(batches, len(self._written)):
            state = state_after(state, batch)
            self._possible.setdefault(batch_number, []).append(state)

    def end_write(self, batches: list[Batch]) -> None:
        """Record that these batches were written without an error."""
        for batch in batches:
            self._written.append(state_after(self.newest, batch))

    def acknowledge(self, batch_number: int) -> None:
        """Record that all batches up to this number are durable, so that none of them may be lost."""
        self._acknowledged = batch_number
        self._possible = {later: states for later, states in self._possible.items() if later > batch_number}

    def check_recovered(self, batch_number: int, state: State) -> str | None:
        """Check a recovered state, and continue from it.

        Args:
            batch_number: Number of the last batch in the recovered store.
            state: The recovered state.

        Returns:
            A description of the failure; None if the state is allowed.
        """
        if batch_number < self._acknowledged:
            return f"acknowledged up to batch {self._acknowledged}, recovered up to {batch_number}"
        allowed = list(self._possible.get(batch_number, []))
        if batch_number < len(self._written):
            allowed.append(self._written[batch_number])
        if state not in allowed:
            return f"recovered state is not the state after batch {batch_number}"
        known = self._written[:batch_number]
        self._written = [*known, *[state] * (batch_number + 1 - len(known))]
        self._possible.clear()
        self._acknowledged = batch_number
        return None
