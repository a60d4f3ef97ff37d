"""Explores the memory ledger: every order of a few events, up to a depth."""

import itertools
import unittest
from collections.abc import Callable

from lavenderway_relay.memory_ledger import Account, MemoryLedger, Purpose
from lavenderway_relay.pace import MIN_PROGRESS_BYTES_PER_S, STALL_GRACE_S

MAX_BYTES = 1_000_000
LARGE_BYTES = 600_000  # two do not find room
SMALL_GROWTH = 200_000
DEPTH = 6
STEP_S = STALL_GRACE_S * 0.75  # two steps without progress stall a client


class Client:
    """A client with one account, whose request or response may give way."""

    def __init__(self, ledger: MemoryLedger, purpose: Purpose) -> None:
        self._ledger = ledger
        self.account = Account(holder=self, purpose=purpose, now=0.0)
        self.progressed_at = 0.0
        self.pressed_at: list[float] = []
        self.now = 0.0

    def give_way(self, account: Account) -> None:
        self.pressed_at.append(self.now)
        self._ledger.close(account)
        account.may_give_way = True


class World:
    """A ledger, a client that sends and one that reads."""

    def __init__(self) -> None:
        self.ledger = MemoryLedger(max_bytes=MAX_BYTES)
        self.sender = Client(self.ledger, Purpose.REQUEST)
        self.reader = Client(self.ledger, Purpose.RESPONSE)
        self.clients = (self.sender, self.reader)
        self.now = 0.0

    def wait(self) -> None:
        self.now += STEP_S
        for client in self.clients:
            client.now = self.now

    def reserve(self, client: Client) -> None:
        """Take much; only stalled clients may end for it."""
        before = [len(each.pressed_at) for each in self.clients]
        stalled = [each.account.stalled_s(self.now) > 0.0 for each in self.clients]
        self.ledger.try_set(client.account, LARGE_BYTES, self.now)
        for each, count, was_stalled in zip(self.clients, before, stalled, strict=True):
            if len(each.pressed_at) > count:
                assert was_stalled, "a client on pace ended for a reservation"

    def grow(self, client: Client) -> None:
        """Hold more than before, without asking."""
        byte_count = client.account.held_bytes + SMALL_GROWTH
        self.ledger.set(client.account, byte_count, self.now)

    def go_on(self, client: Client) -> None:
        step_bytes = int(MIN_PROGRESS_BYTES_PER_S * STEP_S)
        client.account.record_progress(step_bytes, self.now)

    def cancel(self, client: Client) -> None:
        self.ledger.close(client.account)


EVENTS: dict[str, Callable[[World], None]] = {
    "wait": World.wait,
    "sender reserves": lambda world: world.reserve(world.sender),
    "sender goes on": lambda world: world.go_on(world.sender),
    "sender is cancelled": lambda world: world.cancel(world.sender),
    "reader reserves": lambda world: world.reserve(world.reader),
    "response grows": lambda world: world.grow(world.reader),
    "reader goes on": lambda world: world.go_on(world.reader),
    "reader is cancelled": lambda world: world.cancel(world.reader),
}


class Exploration(unittest.TestCase):
    """The sum is never above its maximum, and back at zero when all are gone."""

    def test_every_order(self) -> None:
        for names in itertools.product(EVENTS, repeat=DEPTH):
            world = World()
            for name in names:
                try:
                    EVENTS[name](world)
                except AssertionError as error:
                    raise AssertionError(f"{names}: {error}") from error
                held_bytes = world.ledger.held_bytes
                if held_bytes > MAX_BYTES:
                    self.fail(f"{names}: {held_bytes} bytes held")
                if held_bytes != sum(each.account.held_bytes for each in world.clients):
                    self.fail(f"{names}: accounts and sum differ")
            for client in world.clients:
                world.cancel(client)
            self.assertEqual(0, world.ledger.held_bytes)


if __name__ == "__main__":
    unittest.main()
