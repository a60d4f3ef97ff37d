"""Tests of the account of the memory that a process holds."""

import random
import unittest

from lavenderway_relay.memory_ledger import (
    SMALL_BYTES,
    Account,
    MemoryLedger,
    Purpose,
    compute_max_held_bytes,
)
from lavenderway_relay.pace import (
    MAX_STEP_S,
    MIN_PROGRESS_BYTES_PER_S,
    STALL_GRACE_S,
    PaceClock,
)

MAX_BYTES = 1_000_000
LARGE_BYTES = 400_000
LATER_S = STALL_GRACE_S + 1.0


class FakeHolder:
    """Frees what it holds when it has to give way."""

    def __init__(self, ledger: MemoryLedger) -> None:
        self._ledger = ledger
        self.account = Account(holder=self, purpose=Purpose.REQUEST, now=0.0)
        self.gave_way = False

    def give_way(self, account: Account) -> None:
        self.gave_way = True
        self._ledger.close(account)


class LedgerCase(unittest.TestCase):
    """Base class: some holders with one account each."""

    def setUp(self) -> None:
        self.ledger = MemoryLedger(max_bytes=MAX_BYTES)
        self.holders = [FakeHolder(self.ledger) for _ in range(4)]

    def take(self, index: int, byte_count: int, now: float = 0.0) -> bool:
        return self.ledger.try_set(self.holders[index].account, byte_count, now)

    @property
    def gave_way(self) -> list[int]:
        return [index for index, each in enumerate(self.holders) if each.gave_way]


class Resizing(LedgerCase):
    """The memory limit in the settings is changed while bodies are held."""

    def test_lower_maximum_presses_the_largest(self) -> None:
        self.take(0, LARGE_BYTES)
        self.take(1, LARGE_BYTES // 2)
        self.ledger.resize(LARGE_BYTES, 0.0)
        self.assertEqual([0], self.gave_way)
        self.assertFalse(self.take(2, LARGE_BYTES // 2))

    def test_higher_maximum_admits_those_that_wait(self) -> None:
        room_found: list[bool] = []
        self.take(0, 2 * LARGE_BYTES)
        self.ledger.on_room.append(lambda: room_found.append(self.take(1, LARGE_BYTES)))
        self.ledger.resize(2 * MAX_BYTES, 0.0)
        self.assertEqual([True], room_found)


class Reservations(LedgerCase):
    """A crowd of large bodies gets no more than there is."""

    def test_nothing_beyond_the_maximum(self) -> None:
        taken = [self.take(index, LARGE_BYTES) for index in range(4)]
        self.assertEqual([True, True, False, False], taken)
        self.assertEqual(2 * LARGE_BYTES, self.ledger.held_bytes)

    def test_small_messages_find_room_beside_large_ones(self) -> None:
        self.take(0, 500_000)
        self.take(1, 400_000)
        self.assertFalse(self.take(2, SMALL_BYTES + 1))
        self.assertTrue(self.take(3, SMALL_BYTES))

    def test_freed_room_is_announced(self) -> None:
        calls: list[int] = []
        self.ledger.on_room.append(lambda: calls.append(self.ledger.held_bytes))
        self.take(0, LARGE_BYTES)
        self.ledger.close(self.holders[0].account)
        self.assertEqual([0], calls)

    def test_all_is_given_back_in_any_order(self) -> None:
        rng = random.Random(1)
        now = 0.0
        for _ in range(5_000):
            now += rng.uniform(0.0, 0.5)
            holder = rng.choice(self.holders)
            holder.account.record_progress(rng.randrange(10_000), now)
            holder.account.may_give_way = True
            change = rng.choice((self.ledger.try_set, self.ledger.set))
            change(holder.account, rng.randrange(500_000), now)
            self.assertLessEqual(self.ledger.held_bytes, MAX_BYTES)
        for holder in self.holders:
            self.ledger.close(holder.account)
        self.assertEqual(0, self.ledger.held_bytes)

    def test_unlimited_ledger(self) -> None:
        ledger = MemoryLedger()
        holder = FakeHolder(ledger)
        self.assertTrue(ledger.try_set(holder.account, 10**12, 0.0))


class StalledClients(LedgerCase):
    """Bodies that stop short of their end give way when their memory is needed."""

    def test_stalled_client_gives_way(self) -> None:
        self.take(0, LARGE_BYTES)
        self.take(1, LARGE_BYTES)
        self.assertTrue(self.take(2, LARGE_BYTES, LATER_S))
        self.assertEqual(1, len(self.gave_way))

    def test_nobody_gives_way_while_there_is_room(self) -> None:
        self.take(0, LARGE_BYTES)
        self.assertTrue(self.take(1, LARGE_BYTES, LATER_S))
        self.assertEqual([], self.gave_way)

    def test_client_on_pace_keeps_its_memory(self) -> None:
        self.take(0, LARGE_BYTES)
        self.take(1, LARGE_BYTES)
        for second in range(1, 6):
            for index in (0, 1):
                account = self.holders[index].account
                account.record_progress(MIN_PROGRESS_BYTES_PER_S, float(second))
        self.assertFalse(self.take(2, LARGE_BYTES, 5.5))
        self.assertEqual([], self.gave_way)

    def test_most_for_the_longest_goes_first(self) -> None:
        self.take(0, 500_000)
        self.take(1, 300_000)
        self.holders[0].account.record_progress(100_000, 4.0)
        self.assertTrue(self.take(2, 300_000, STALL_GRACE_S + 4.1))
        self.assertEqual([1], self.gave_way)

    def test_a_byte_now_and_then_is_no_progress(self) -> None:
        self.take(0, LARGE_BYTES)
        self.take(1, LARGE_BYTES)
        for tenth in range(1, 100):
            self.holders[0].account.record_progress(1, tenth / 10)
            account = self.holders[1].account
            account.record_progress(MIN_PROGRESS_BYTES_PER_S, tenth / 10)
        self.assertTrue(self.take(2, LARGE_BYTES, 9.9))
        self.assertEqual([0], self.gave_way)

    def test_client_that_goes_on_is_on_pace_again(self) -> None:
        account = self.holders[0].account
        account.record_progress(20 * MIN_PROGRESS_BYTES_PER_S, 1_000.0)
        self.assertEqual(0.0, account.stalled_s(1_000.0 + STALL_GRACE_S))

    def test_request_that_is_being_run_keeps_its_memory(self) -> None:
        self.take(0, 900_000)
        self.holders[0].account.may_give_way = False
        self.assertFalse(self.take(1, LARGE_BYTES, LATER_S))
        self.assertEqual([], self.gave_way)


class UnreadResponses(LedgerCase):
    """Responses are held in any case; beyond the maximum the largest gives way."""

    def test_largest_gives_way(self) -> None:
        for index, byte_count in enumerate((300_000, 500_000, 300_000)):
            self.ledger.set(self.holders[index].account, byte_count, 0.0)
        self.assertEqual([1], self.gave_way)
        self.assertEqual(600_000, self.ledger.held_bytes)

    def test_stalled_reader_goes_before_a_larger_response(self) -> None:
        self.ledger.set(self.holders[0].account, 300_000, 0.0)
        self.holders[1].account.record_progress(100_000, LATER_S)
        self.ledger.set(self.holders[1].account, 800_000, LATER_S)
        self.assertEqual([0], self.gave_way)

    def test_reader_on_pace_goes_after_one_that_has_read_nothing(self) -> None:
        """Also if it holds more, and neither is stalled yet."""
        self.ledger.set(self.holders[0].account, 500_000, 0.0)
        self.ledger.set(self.holders[1].account, 400_000, 0.0)
        self.holders[0].account.record_progress(100_000, 1.0)
        self.ledger.set(self.holders[2].account, 300_000, 1.0)
        self.assertEqual([1], self.gave_way)


class Clock(unittest.TestCase):
    """Clients are measured by the time in which the process ran."""

    def test_time_without_ticks_does_not_count(self) -> None:
        clock = PaceClock()
        for loop_now in (50.0, 50.1, 90.0, 90.1):
            clock.advance(loop_now)
        self.assertAlmostEqual(0.2 + MAX_STEP_S, clock.now)


class MaximumOfAProcess(unittest.TestCase):
    """A legal body of 64 MB fits into the memory of the smallest machines."""

    def test_single_largest_body(self) -> None:
        ledger = MemoryLedger(max_bytes=compute_max_held_bytes(200_000_000))
        holder = FakeHolder(ledger)
        body_bytes = int(67_108_864 * 1.125)
        self.assertTrue(ledger.try_set(holder.account, body_bytes, 0.0))


if __name__ == "__main__":
    unittest.main()
