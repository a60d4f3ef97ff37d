"""Carries out effects: one function for each type, in a registry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from lavenderway_core import effects as fx
from lavenderway_core.events import (
    JobExpired,
    JobFinished,
    RowsRead,
    RunResult,
    TransactSettled,
)
from lavenderway_core.hosting import load_of
from lavenderway_core.ids import Revision
from returns.result import Success

from lavenderway_node.clock import read_clock
from lavenderway_node.exchange import AnswerPart

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_node.frames import AnswerAck
    from lavenderway_node.node import Node

EXECUTORS: dict[type, Callable[[Node, Any], None]] = {}


def executes(
    effect_type: type,
) -> Callable[[Callable[[Node, Any], None]], Callable[[Node, Any], None]]:
    """Register the function that carries out one type of effect."""

    def register(
        executor: Callable[[Node, Any], None],
    ) -> Callable[[Node, Any], None]:
        EXECUTORS[effect_type] = executor
        return executor

    return register


@executes(fx.Refuse)
def refuse(node: Node, effect: fx.Refuse) -> None:
    """Give a caller its final answer."""
    exchange = node.exchanges.get(effect.exchange)
    if exchange is not None:
        exchange.refuse(effect.refusal)


@executes(fx.BreakAnswer)
def break_answer(node: Node, effect: fx.BreakAnswer) -> None:
    """Have a caller's connection cut."""
    exchange = node.exchanges.get(effect.exchange)
    if exchange is not None:
        exchange.push(AnswerPart(b"", more=False, broken=True))


@executes(fx.SendAttempt)
def send_attempt(node: Node, effect: fx.SendAttempt) -> None:
    """Send a call to a peer."""
    given = node.input_of(effect.job)
    if given is not None:
        node.links.send_call(effect.peer, effect.job, effect.spec, given)


@executes(fx.CancelAttempt)
def cancel_attempt(node: Node, effect: fx.CancelAttempt) -> None:
    """Tell a peer that an attempt is given up."""
    node.links.cancel_call(effect.job)


@executes(fx.RunJob)
def run_job(node: Node, effect: fx.RunJob) -> None:
    """Give a job to an upstream."""
    given = node.input_of(effect.job)
    sink = node.sink_of(effect.job)
    if given is None or sink is None:
        finished = JobFinished(effect.job, RunResult.NOT_STARTED, answered=False)
        node.dispatch(finished)
        return
    node.upstreams.start(effect, given, sink)


@executes(fx.AbortJob)
def abort_job(node: Node, effect: fx.AbortJob) -> None:
    """Cancel a job towards its upstream."""
    node.upstreams.abort(effect.job)


@executes(fx.RefuseJob)
def refuse_job(node: Node, effect: fx.RefuseJob) -> None:
    """Refuse an attempt towards its entry node."""
    sink = node.sink_of(effect.job)
    node.forget_job(effect.job)
    if sink is not None:
        sink.refuse(effect.refusal, effect.load)


@executes(fx.ReplayAnswer)
def replay_answer(node: Node, effect: fx.ReplayAnswer) -> None:
    """Answer a job with a kept answer."""
    load = load_of(node.state, effect.job, read_clock())
    node.replay(effect.job, effect.answer, load)


@executes(fx.StartTimer)
def start_timer(node: Node, effect: fx.StartTimer) -> None:
    """Report the expiry of a job at a time."""
    delay_s = max(0.0, effect.at - read_clock())
    loop = asyncio.get_running_loop()
    loop.call_later(delay_s, node.dispatch, JobExpired(effect.job))


@executes(fx.SendControl)
def send_control(node: Node, effect: fx.SendControl) -> None:
    """Send a control message."""
    node.links.send_control(effect.peer, effect.address, effect.message)


@executes(fx.ReadRows)
def read_rows(node: Node, effect: fx.ReadRows) -> None:
    """Read rows of the platform's table."""
    node.spawn(_read_rows(node, effect))


@executes(fx.Transact)
def transact(node: Node, effect: fx.Transact) -> None:
    """Write rows of the platform's table."""
    node.spawn(_transact(node, effect))


@executes(fx.Log)
def write_log(node: Node, effect: fx.Log) -> None:
    """Write a log line."""
    node.logs.write(effect.part, effect.message, effect.fields, read_clock())


@executes(fx.Count)
def count(node: Node, effect: fx.Count) -> None:
    """Raise a counter."""
    node.metrics.count(effect.metric, effect.amount)


@executes(fx.Stopped)
def stopped(node: Node, effect: fx.Stopped) -> None:
    """Note that nothing is left to do."""
    node.stopped.set()


def acknowledge(node: Node, message: AnswerAck) -> None:
    """Open the window of the sink that waits for it."""
    sink = node.sinks.get(message.job)
    open_window = getattr(sink, "open_window", None)
    if open_window is not None:
        open_window(message.parts)


async def _read_rows(node: Node, effect: fx.ReadRows) -> None:
    asked_at = read_clock()
    answer = await node.table.read(effect.prefix, effect.since)
    rows, revision = None, 0
    if isinstance(answer, Success):
        snapshot = answer.unwrap()
        rows, revision = snapshot.rows, snapshot.revision
    node.metrics.count("table.reads")
    node.dispatch(RowsRead(effect.ticket, rows, Revision(revision), asked_at))


async def _transact(node: Node, effect: fx.Transact) -> None:
    asked_at = read_clock()
    settled = await node.table.transact(effect.conditions, effect.writes)
    node.metrics.count("table.writes")
    event = TransactSettled(
        effect.ticket, settled.outcome, settled.versions, settled.rows, asked_at
    )
    node.dispatch(event)
