"""Registry of the functions that execute effects, one per effect type."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from lavenderway_core import effects
from lavenderway_core.events import (
    JobExpired,
    JobFinished,
    RowsRead,
    RunResult,
    TransactionCompleted,
)
from lavenderway_core.hosting import measure_load
from lavenderway_core.ids import Revision
from returns.result import Success

from lavenderway_node.clock import read_clock
from lavenderway_node.exchange import ResponsePart

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_node.frames import ResponseAck
    from lavenderway_node.node import Node

EXECUTORS: dict[type, Callable[[Node, Any], None]] = {}


def executes(
    effect_type: type,
) -> Callable[[Callable[[Node, Any], None]], Callable[[Node, Any], None]]:
    """Register the decorated function as the executor of one effect type."""

    def register(
        executor: Callable[[Node, Any], None],
    ) -> Callable[[Node, Any], None]:
        EXECUTORS[effect_type] = executor
        return executor

    return register


@executes(effects.Refuse)
def refuse(node: Node, effect: effects.Refuse) -> None:
    """Send a caller the refusal of its request."""
    exchange = node.exchanges.get(effect.exchange)
    if exchange is not None:
        exchange.refuse(effect.refusal)


@executes(effects.AbortResponse)
def abort_response(node: Node, effect: effects.AbortResponse) -> None:
    """Abort the caller's connection so that it sees an incomplete response."""
    exchange = node.exchanges.get(effect.exchange)
    if exchange is not None:
        exchange.push(ResponsePart(b"", more=False, broken=True))


@executes(effects.SendAttempt)
def send_attempt(node: Node, effect: effects.SendAttempt) -> None:
    """Send an attempt to the peer on the upstream's host."""
    forwarded = node.find_forwarded_request(effect.job)
    if forwarded is not None:
        node.links.send_attempt(effect.peer, effect.job, effect.spec, forwarded)


@executes(effects.CancelAttempt)
def cancel_attempt(node: Node, effect: effects.CancelAttempt) -> None:
    """Tell a peer to cancel an attempt."""
    node.links.cancel_attempt(effect.job)


@executes(effects.RunJob)
def run_job(node: Node, effect: effects.RunJob) -> None:
    """Send a job to its upstream."""
    forwarded = node.find_forwarded_request(effect.job)
    sink = node.find_sink(effect.job)
    if forwarded is None or sink is None:
        finished = JobFinished(
            effect.job, RunResult.NOT_STARTED, response_started=False
        )
        node.dispatch(finished)
        return
    node.upstreams.start(effect, forwarded, sink)


@executes(effects.AbortJob)
def abort_job(node: Node, effect: effects.AbortJob) -> None:
    """Abort the request that a job has sent to its upstream."""
    node.upstreams.abort(effect.job)


@executes(effects.RefuseJob)
def refuse_job(node: Node, effect: effects.RefuseJob) -> None:
    """Send the refusal of an attempt to its entry node."""
    sink = node.find_sink(effect.job)
    node.discard_job(effect.job)
    if sink is not None:
        sink.refuse(effect.refusal, effect.load)


@executes(effects.ReplayResponse)
def replay_response(node: Node, effect: effects.ReplayResponse) -> None:
    """Send a recorded response as the response of a job."""
    load = measure_load(node.state, effect.job, read_clock())
    node.replay_response(effect.job, effect.response, load)


@executes(effects.StartTimer)
def start_timer(node: Node, effect: effects.StartTimer) -> None:
    """Schedule the expiry of a job."""
    delay_s = max(0.0, effect.at - read_clock())
    loop = asyncio.get_running_loop()
    loop.call_later(delay_s, node.dispatch, JobExpired(effect.job))


@executes(effects.SendControl)
def send_control(node: Node, effect: effects.SendControl) -> None:
    """Send a control message to a peer."""
    node.links.send_control(effect.peer, effect.address, effect.message)


@executes(effects.ReadRows)
def read_rows(node: Node, effect: effects.ReadRows) -> None:
    """Start reading rows of the platform's table."""
    node.spawn(_read_rows(node, effect))


@executes(effects.Transact)
def transact(node: Node, effect: effects.Transact) -> None:
    """Start a transaction on the platform's table."""
    node.spawn(_transact(node, effect))


@executes(effects.Log)
def write_log(node: Node, effect: effects.Log) -> None:
    """Write a log line."""
    node.logs.write(effect.component, effect.message, effect.fields, read_clock())


@executes(effects.Count)
def count(node: Node, effect: effects.Count) -> None:
    """Increment a counter."""
    node.metrics.count(effect.metric, effect.amount)


@executes(effects.Stopped)
def record_stopped(node: Node, effect: effects.Stopped) -> None:
    """Signal that the shutdown is complete."""
    node.stopped.set()


def open_response_window(node: Node, message: ResponseAck) -> None:
    """Open the send window of a response by the parts that a peer has acknowledged."""
    sink = node.sinks.get(message.job)
    open_window = getattr(sink, "open_window", None)
    if open_window is not None:
        open_window(message.parts)


async def _read_rows(node: Node, effect: effects.ReadRows) -> None:
    requested_at = read_clock()
    response = await node.table.read(effect.prefix, effect.since_revision)
    rows, revision = None, 0
    if isinstance(response, Success):
        snapshot = response.unwrap()
        rows, revision = snapshot.rows, snapshot.revision
    node.metrics.count("table.reads")
    node.dispatch(RowsRead(effect.tag, rows, Revision(revision), requested_at))


async def _transact(node: Node, effect: effects.Transact) -> None:
    requested_at = read_clock()
    result = await node.table.transact(effect.conditions, effect.writes)
    node.metrics.count("table.writes")
    event = TransactionCompleted(
        effect.tag, result.outcome, result.versions, result.rows, requested_at
    )
    node.dispatch(event)
