"""Tests of the soak's invariants, ports, events and proxies, and regression runs."""

import asyncio
import contextlib
import random
import subprocess
import sys
import unittest
from typing import Any

from lavenderway_dev.loop_stalls import Stall
from lavenderway_dev.soak import SERVICES_BY_PREFIX, run_soak
from lavenderway_dev.soak_checks import (
    DRAIN_GRACE_S,
    DROP_SLACK_S,
    RESET_DROP_SLACK_S,
    ClientRequest,
    Execution,
    Invariant,
    Observations,
    RunEnd,
    Stop,
)
from lavenderway_dev.soak_faults import PLANNED_KINDS, generate_events
from lavenderway_dev.soak_link import LinkFault, LinkProxy
from lavenderway_dev.soak_seeds import FAILED_SEEDS, Cause
from lavenderway_dev.store_standin import PORTS_PER_PROCESS, allocate_port
from lavenderway_relay.model import Address

SERVED = b"served /order/x"


def make_request(**changes: Any) -> ClientRequest:
    values: dict[str, Any] = {
        "id": "1",
        "path": "/order/x",
        "workspace": "large",
        "at_most_once": True,
        "sent_at": 0.0,
        "status": 200,
        "body": SERVED,
    }
    return ClientRequest(**(values | changes))


def make_execution(**changes: Any) -> Execution:
    return Execution("1", "back", "i-1", 1.0, "large", False)._replace(**changes)


class InvariantViolations(unittest.TestCase):
    """Each violated invariant is reported; a correct run has no findings."""

    def check(
        self,
        sent: ClientRequest,
        *executions: Execution,
        planned_only: bool = False,
        **observations: Any,
    ) -> set[Invariant]:
        found = Observations(
            sent={sent.id: sent}, executions=list(executions), **observations
        )
        rates = {"small": (1.0, 1.0)}
        findings = found.check(
            services=SERVICES_BY_PREFIX, rates=rates, planned_only=planned_only
        )
        return {finding.invariant for finding in findings}

    def test_served_request_violates_nothing(self) -> None:
        self.assertEqual(
            set(), self.check(make_request(), make_execution(), planned_only=True)
        )

    def test_order_that_ran_twice(self) -> None:
        self.assertEqual(
            {Invariant.AT_MOST_ONCE},
            self.check(make_request(), *[make_execution()] * 2),
        )

    def test_refused_order_that_ran(self) -> None:
        for status in (408, 421, 429, 503):
            found = self.check(make_request(status=status), make_execution())
            self.assertEqual({Invariant.TRUE_REFUSAL}, found)

    def test_response_to_another_request(self) -> None:
        self.assertEqual(
            {Invariant.MATCHING_RESPONSE},
            self.check(make_request(body=b"other"), make_execution()),
        )
        self.assertEqual({Invariant.MATCHING_RESPONSE}, self.check(make_request()))

    def test_key_or_wrong_workspace_at_upstream(self) -> None:
        for execution in (
            make_execution(has_authorization=True),
            make_execution(workspace="small"),
        ):
            self.assertIn(
                Invariant.IDENTITY_STRIPPED, self.check(make_request(), execution)
            )

    def test_execution_without_valid_key(self) -> None:
        found = self.check(make_request(status=401), make_execution())
        self.assertEqual({Invariant.AUTHENTICATED}, found)

    def test_execution_at_wrong_service(self) -> None:
        found = self.check(make_request(), make_execution(service="front"))
        self.assertEqual({Invariant.ROUTED_SERVICE}, found)

    def test_new_request_at_drained_upstream(self) -> None:
        late = make_execution(started_at=DRAIN_GRACE_S + 0.1)
        found = self.check(make_request(), late, drained_at={"i-1": 0.0})
        self.assertEqual({Invariant.DRAINED}, found)
        timely = make_execution(started_at=DRAIN_GRACE_S - 0.1)
        self.assertEqual(
            set(), self.check(make_request(), timely, drained_at={"i-1": 0.0})
        )

    def test_exceeded_rate(self) -> None:
        sent = make_request(workspace="small", at_most_once=False)
        executions = [
            make_execution(workspace="small", started_at=i * 0.1) for i in range(40)
        ]
        self.assertIn(Invariant.RATE_LIMIT, self.check(sent, *executions))

    def test_exceeded_retry_budget(self) -> None:
        sent = make_request(at_most_once=False)
        executions = [make_execution(started_at=i * 0.01) for i in range(100)]
        self.assertEqual({Invariant.RETRY_BUDGET}, self.check(sent, *executions))

    def test_request_broken_by_planned_operation(self) -> None:
        for sent in (
            make_request(status=None, connection_broken=True),
            make_request(status=502),
        ):
            found = self.check(sent, make_execution(), planned_only=True)
            self.assertEqual({Invariant.PLANNED_OPERATION}, found)
            self.assertEqual(set(), self.check(sent, make_execution()))


class BrokenRequests(unittest.TestCase):
    """Planned operations may break requests in the permitted cases only."""

    def check(
        self, sent: ClientRequest, *executions: Execution, **observations: Any
    ) -> set[Invariant]:
        found = Observations(
            sent={sent.id: sent}, executions=list(executions), **observations
        )
        findings = found.check(services=SERVICES_BY_PREFIX, rates={}, planned_only=True)
        return {finding.invariant for finding in findings}

    def broken(self, **changes: Any) -> ClientRequest:
        values: dict[str, Any] = {
            "status": None,
            "body": b"",
            "connection_broken": True,
            "host": "h1",
            "limit_s": 6.0,
            "ended_at": 0.5,
        }
        return make_request(**(values | changes))

    def test_forwarded_request_behind_another(self) -> None:
        found = self.check(self.broken(behind=True), make_execution())
        self.assertEqual({Invariant.PLANNED_OPERATION}, found)

    def test_response_of_the_node_while_the_upstream_works(self) -> None:
        for status in (502, 503, 504):
            sent = self.broken(
                status=status, connection_broken=False, at_most_once=False
            )
            found = self.check(sent, make_execution())
            self.assertEqual({Invariant.PLANNED_OPERATION}, found)

    def test_refusal_after_the_run_has_ended(self) -> None:
        sent = self.broken(status=503, connection_broken=False, at_most_once=False)
        ends = {("1", "i-1"): RunEnd(0.4, completed=True)}
        self.assertEqual(set(), self.check(sent, make_execution(), run_ends=ends))

    def test_request_that_reached_its_time_limit(self) -> None:
        sent = self.broken(status=504, connection_broken=False, ended_at=6.0)
        self.assertEqual(set(), self.check(sent, make_execution()))

    def test_upstream_that_ended(self) -> None:
        sent = self.broken(ended_at=2.0)
        run = make_execution(started_at=1.0)
        ends = {("1", "i-1"): RunEnd(1.5, completed=False)}
        for stopped_at, expected in (
            (1.5, set()),
            (0.5, {Invariant.PLANNED_OPERATION}),
        ):
            found = self.check(
                sent, run, run_ends=ends, upstreams_stopped_at={"i-1": stopped_at}
            )
            self.assertEqual(expected, found)

    def test_long_request_at_the_end_of_the_grace_period(self) -> None:
        stops = [Stop("h1", 1.0)]
        for sent_at, run_ended_at, expected in (
            (3.9, 6.2, set()),
            (4.1, 6.2, {Invariant.PLANNED_OPERATION}),
            (3.9, 5.8, {Invariant.PLANNED_OPERATION}),
        ):
            sent = self.broken(sent_at=sent_at, ended_at=6.3)
            ends = {("1", "i-1"): RunEnd(run_ended_at, completed=False)}
            run = make_execution(started_at=sent_at)
            found = self.check(sent, run, run_ends=ends, stops=stops)
            self.assertEqual(expected, found)

    def test_dropped_request_that_has_not_run(self) -> None:
        for slack_s, is_reset in ((DROP_SLACK_S, False), (RESET_DROP_SLACK_S, True)):
            late = self.broken(connection_reset=is_reset, ended_at=slack_s + 0.1)
            self.assertEqual({Invariant.NOT_DROPPED}, self.check(late))
            late.behind = True
            self.assertEqual(set(), self.check(late))
            late.behind, late.unread_s = False, 0.6
            self.assertEqual(set(), self.check(late))
            early = self.broken(connection_reset=is_reset, ended_at=slack_s - 0.1)
            self.assertEqual(set(), self.check(early))

    def test_stall_of_the_soak_is_not_a_dropped_request(self) -> None:
        sent = self.broken(sent_at=1.0, ended_at=1.43)
        for stall, expected in (
            (Stall(1.0, 1.42, 0.0), set()),
            (Stall(1.0, 1.2, 0.0), {Invariant.NOT_DROPPED}),
            (Stall(0.5, 1.1, 0.0), {Invariant.NOT_DROPPED}),
            (Stall(1.43, 2.0, 0.0), {Invariant.NOT_DROPPED}),
        ):
            self.assertEqual(expected, self.check(sent, stalls=[stall]))

    def test_finding_names_stalls_of_the_soak(self) -> None:
        sent = self.broken(sent_at=1.0, ended_at=1.5)
        stalls = [Stall(0.0, 0.5, 0.1), Stall(1.2, 1.3, 0.04)]
        found = Observations(sent={sent.id: sent}, stalls=stalls)
        findings = found.check(services=SERVICES_BY_PREFIX, rates={}, planned_only=True)
        self.assertIn(
            "soak stalled 0.20 to 0.30 (0.04 s of processor time)", findings[0].detail
        )


class PortAllocation(unittest.TestCase):
    """Concurrent runs on one machine use different ports."""

    def test_recent_port_is_not_returned_again(self) -> None:
        allocated = [allocate_port() for _ in range(1200)]
        for first in range(0, 1200, 100):
            window = allocated[first : first + 300]
            self.assertEqual(len(window), len(set(window)))

    def test_other_process_uses_another_range(self) -> None:
        code = "from lavenderway_dev.store_standin import *; print(allocate_port())"
        command = [sys.executable, "-c", f"{code}; input()"]
        own = allocate_port() // PORTS_PER_PROCESS
        with subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        ) as other:
            assert other.stdout is not None
            self.assertNotEqual(own, int(other.stdout.readline()) // PORTS_PER_PROCESS)
            other.communicate("\n")


class GeneratedEvents(unittest.TestCase):
    """Events depend only on the seed, and planned operations can be selected."""

    def test_same_seed_gives_same_events(self) -> None:
        generated = [
            generate_events(
                random.Random(4), [["a", "b"], ["c"]], seconds=8.0, planned_only=False
            )
            for _ in range(2)
        ]
        self.assertEqual(generated[0], generated[1])

    def test_planned_operations_only(self) -> None:
        for seed in range(20):
            events = generate_events(
                random.Random(seed), [["a"]], seconds=8.0, planned_only=True
            )
            self.assertLessEqual({event.kind for event in events}, set(PLANNED_KINDS))


class ProxiedLink(unittest.IsolatedAsyncioTestCase):
    """The proxy relays, delays, drops and resets according to its fault."""

    async def asyncSetUp(self) -> None:
        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionResetError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        target = Address("127.0.0.1", allocate_port())
        server = await asyncio.start_server(echo, *target)
        self.addCleanup(server.close)
        self.link = LinkProxy(
            address=Address("127.0.0.1", allocate_port()), target=target
        )
        await self.link.start()
        self.addCleanup(self.link.stop)
        self.reader, self.writer = await asyncio.open_connection(*self.link.address)
        self.addCleanup(self.writer.close)

    async def send_and_receive(self, timeout_s: float = 0.2) -> bytes | None:
        self.writer.write(b"hello")
        try:
            async with asyncio.timeout(timeout_s):
                return await self.reader.read(100)
        except TimeoutError:
            return None

    async def test_relays(self) -> None:
        self.assertEqual(b"hello", await self.send_and_receive())

    async def test_delays(self) -> None:
        self.link.fault, self.link.delay_s = LinkFault.DELAY, 0.15
        self.assertIsNone(await self.send_and_receive())
        self.assertEqual(b"hello", await self.reader.read(100))

    async def test_connection_with_losses_stays_silent(self) -> None:
        for fault in (
            LinkFault.SILENT,
            LinkFault.FORWARD_CUT,
            LinkFault.BACKWARD_CUT,
        ):
            with self.subTest(fault):
                self.link.fault = fault
                self.assertIsNone(await self.send_and_receive())
                self.link.fault = LinkFault.NONE
                self.assertIsNone(await self.send_and_receive())

    async def test_resets(self) -> None:
        self.link.fault = LinkFault.RESET
        with self.assertRaises(ConnectionResetError):
            await self.send_and_receive()


class RegressionSoaks(unittest.IsolatedAsyncioTestCase):
    """Real processes under random faults; odd seeds have planned operations only.

    The causes left out need a machine without processor time or a fault of the soak.
    """

    SEPARATE_PROCESSES = True

    async def asyncSetUp(self) -> None:
        # Debug mode would slow down the clients and stand-ins in this process.
        asyncio.get_running_loop().set_debug(False)

    async def check(self, cause: Cause) -> None:
        self.assertEqual([], await run_soak(seed=FAILED_SEEDS[cause][0]))

    async def test_port_of_restarting_node_is_taken(self) -> None:
        await self.check(Cause.TAKEN_PORT)

    async def test_planned_operations_violate_nothing(self) -> None:
        self.assertEqual([], await run_soak(seed=3))

    async def test_stopping_node_drops_requests_taken_too_late(self) -> None:
        await self.check(Cause.UNBOUNDED_INTAKE)

    async def test_response_to_slow_reader_is_reset(self) -> None:
        await self.check(Cause.SLOW_READER)

    async def test_attempt_is_cancelled_although_no_other_host_has_room(self) -> None:
        await self.check(Cause.CANCELLED_ATTEMPT)

    async def test_refusal_cancels_requests_behind_it(self) -> None:
        await self.check(Cause.PIPELINED_REFUSAL)

    async def test_hosts_are_missing_in_restored_store(self) -> None:
        await self.check(Cause.RESTORED_STORE)


class NoticeSoaks(unittest.IsolatedAsyncioTestCase):
    """Real processes whose upstreams name limits and departures, under faults."""

    SEPARATE_PROCESSES = True

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def test_planned_operations(self) -> None:
        self.assertEqual([], await run_soak(seed=501, notices=True))

    async def test_unplanned_faults(self) -> None:
        self.assertEqual([], await run_soak(seed=502, notices=True))


class ViewSoaks(unittest.IsolatedAsyncioTestCase):
    """Real processes whose views differ as the store falls silent to some of them."""

    SEPARATE_PROCESSES = True

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    async def test_unplanned_faults(self) -> None:
        self.assertEqual([], await run_soak(seed=602, views=True))
