"""Event loop in virtual time with an in-memory network, for deterministic tests.

Runs the code of several processes in one real process. Each of them can be frozen and
killed: callbacks that belong to it are held or dropped. All delays come from a seeded
random generator, so that a seed always gives the same order of events.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from contextvars import Context, ContextVar, copy_context
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVarTuple, cast

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable
    from random import Random

MIN_DELAY_S = 0.000_2
MEAN_EXTRA_DELAY_S = 0.000_8
SLOW_SHARE = 0.02  # of the deliveries
SLOW_DELAY_S = 0.04

Arguments = TypeVarTuple("Arguments")

_process: ContextVar[VirtualProcess | None] = ContextVar("process", default=None)


class ProcessState(Enum):
    """State of a virtual process."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"


class VirtualAddress(NamedTuple):
    """Stands in for a bound socket."""

    ip: str
    port: int


class _Callback:
    """A scheduled callback of a process."""

    __slots__ = ("args", "context", "function", "handle")

    def __init__(
        self,
        function: Callable[..., object],
        args: tuple[Any, ...],
        context: Context,
    ) -> None:
        self.function = function
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None


class VirtualProcess:
    """A process that shares the virtual loop with others.

    Args:
        loop: The loop.
        name: Name of the process.

    Attributes:
        state: State of the process.
        tasks: Its tasks, kept so that those of a dead process are not collected, which
            would run their cleanup.

    """

    def __init__(self, *, loop: VirtualLoop, name: str) -> None:
        self.name = name
        self.state = ProcessState.RUNNING
        self.tasks: list[asyncio.Task[Any]] = []
        self._loop = loop
        self._held: deque[_Callback] = deque()
        self.signal_handlers: dict[int, Callable[[], object]] = {}
        self.transports: dict[VirtualTransport, None] = {}
        self._context = copy_context()
        self._context.run(_process.set, self)

    def start(self, make: Callable[[], Any]) -> asyncio.Task[Any]:
        """Create a coroutine and run it as a task of this process."""
        coroutine = self._context.run(make)
        return self._loop.create_task(coroutine, context=self._context)

    def send_signal(self, number: signal.Signals) -> None:
        """Call the handler of a signal; a frozen process handles it later."""
        handler = self.signal_handlers.get(number)
        if handler is not None:
            self._loop.call_soon(handler, context=self._context)

    def freeze(self) -> None:
        """Hold all callbacks; the network still accepts bytes for the process."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN

    def thaw(self) -> None:
        """Run the held callbacks."""
        if self.state is not ProcessState.FROZEN:
            return
        self.state = ProcessState.RUNNING
        while self._held:
            self._loop.resume(self._held.popleft())

    def kill(self) -> None:
        """Drop all callbacks, and let the network end all connections."""
        self.state = ProcessState.DEAD
        self._held.clear()
        for task in self.tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._loop.end_process(self)
        for transport in tuple(self.transports):
            transport.end_by_kernel()

    def run(self, callback: _Callback) -> None:
        """Run a callback that is due, unless the process is frozen or dead."""
        handle = callback.handle
        if self.state is ProcessState.FROZEN:
            self._held.append(callback)
        elif self.state is ProcessState.RUNNING and not (handle and handle.cancelled()):
            callback.function(*callback.args)


class _VirtualSelector:
    """Advances the virtual time instead of waiting for sockets."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout_s: float | None) -> list[Any]:
        if timeout_s is None:
            raise RuntimeError("nothing is scheduled, so the loop would wait for ever")
        self._loop.now += timeout_s
        return []


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop.

    Args:
        random: Source of all delays.

    Attributes:
        now: Virtual time, in seconds.

    """

    def __init__(self, *, random: Random) -> None:
        super().__init__()
        self.now = 1_000.0
        self._random = random
        self._selector = _VirtualSelector(self)
        self._clock_resolution = 1e-9
        self._listeners: dict[VirtualAddress, VirtualListener] = {}
        self.set_task_factory(_create_task)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def call_soon(
        self,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback, on behalf of the process of its context."""
        context = copy_context() if context is None else context
        process = context.get(_process)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        owned = _Callback(callback, args, context)
        owned.handle = super().call_soon(process.run, owned, context=context)
        return owned.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time, on behalf of the process of its context."""
        context = copy_context() if context is None else context
        process = context.get(_process)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        owned = _Callback(callback, args, context)
        handle = super().call_at(when, process.run, owned, context=context)
        owned.handle = handle
        return handle

    def resume(self, callback: _Callback) -> None:
        """Schedule a callback that was held, with its former handle."""
        process = callback.context.get(_process)
        assert process is not None
        super().call_soon(process.run, callback, context=callback.context)

    def add_signal_handler(
        self,
        sig: int,
        callback: Callable[[*Arguments], object],
        *args: *Arguments,
    ) -> None:
        """Register a handler of the process that calls this."""
        process = _process.get()
        assert process is not None, "signals are sent to processes only"
        process.signal_handlers[sig] = lambda: callback(*args)

    async def create_server(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], *, sock: VirtualAddress, **_: Any
    ) -> VirtualListener:
        """Listen at an address.

        Raises:
            OSError: Another listener has the address.

        """
        if sock in self._listeners:
            raise OSError(errno.EADDRINUSE, f"{sock.ip}:{sock.port} is in use")
        listener = VirtualListener(self, sock, factory, _process.get())
        self._listeners[sock] = listener
        return listener

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[VirtualTransport, asyncio.Protocol]:
        """Connect to a listener.

        Raises:
            ConnectionRefusedError: Nothing listens at the address.

        """
        await asyncio.sleep(self.draw_delay())
        listener = self._listeners.get(VirtualAddress(host, port))
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens at {host}:{port}")
        client = VirtualTransport(self, _process.get(), copy_context())
        server = VirtualTransport(self, listener.process, listener.context)
        client.peer, server.peer = server, client
        protocol = factory()
        client.open(protocol)
        self.call_soon(listener.accept, server, context=listener.context)
        return client, protocol

    def draw_delay(self) -> float:
        """Return a delay of the network, in seconds."""
        if self._random.random() < SLOW_SHARE:
            return SLOW_DELAY_S * self._random.random()
        return MIN_DELAY_S + self._random.expovariate(1 / MEAN_EXTRA_DELAY_S)

    def remove_listener(self, address: VirtualAddress) -> None:
        """Refuse further connections to an address."""
        self._listeners.pop(address, None)

    def end_process(self, process: VirtualProcess) -> None:
        """Remove the listeners of a process that has ended."""
        for address, listener in tuple(self._listeners.items()):
            if listener.process is process:
                del self._listeners[address]


class VirtualListener:
    """A listening address.

    Args:
        loop: The loop.
        address: The address.
        factory: Returns the protocol of a new connection.
        process: Process that listens; None for code outside all processes.

    """

    def __init__(
        self,
        loop: VirtualLoop,
        address: VirtualAddress,
        factory: Callable[[], asyncio.Protocol],
        process: VirtualProcess | None,
    ) -> None:
        self.process = process
        self.context = copy_context()
        self._loop = loop
        self._address = address
        self._factory = factory

    def accept(self, transport: VirtualTransport) -> None:
        """Make a new connection known to a new protocol."""
        transport.open(self._factory())

    def close(self) -> None:
        """Refuse further connections."""
        self._loop.remove_listener(self._address)


class _VirtualSocket:
    """Socket options that the relay uses."""

    def __init__(self, transport: VirtualTransport) -> None:
        self._transport = transport

    def setsockopt(self, _level: int, option: int, _value: object) -> None:
        if option == socket.SO_LINGER:
            self._transport.resets = True

    def getsockopt(self, _level: int, _option: int) -> int:
        return errno.ECONNRESET if self._transport.was_reset else 0


class _Packet(Enum):
    """Ends of a stream that travel like data."""

    END = "end"
    RESET = "reset"


class VirtualTransport(asyncio.Transport):
    """One end of a connection.

    Written bytes leave the process at once. Closing an end with unread input, and
    sending to a closed end, resets the connection; a reset discards unread input.

    Args:
        loop: The loop.
        process: Process of this end; None for code outside all processes.
        context: Context of the callbacks of this end.

    Attributes:
        peer: The other end.
        resets: Whether closing this end resets the connection.
        was_reset: Whether the other end has reset the connection.
        unacknowledged_bytes: Number of written bytes that have not arrived yet.

    """

    def __init__(
        self, loop: VirtualLoop, process: VirtualProcess | None, context: Context
    ) -> None:
        super().__init__()
        self.peer: VirtualTransport
        self.resets = False
        self.was_reset = False
        self.unacknowledged_bytes = 0
        self._loop = loop
        self._process = process
        self._context = context
        self._protocol: asyncio.Protocol | None = None
        self._inbox: deque[bytes | _Packet] = deque()
        self._in_flight: deque[bytes | _Packet] = deque()
        self._last_arrival = 0.0
        self._closed = False  # by this process
        self._ended = False  # connection_lost() is scheduled
        self._finished_writing = False
        self._reading = True
        if process is not None:
            process.transports[self] = None

    def open(self, protocol: asyncio.Protocol) -> None:
        """Connect this end to its protocol."""
        self._protocol = protocol
        protocol.connection_made(self)
        self._schedule_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the stand-in of the socket."""
        return _VirtualSocket(self) if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        """Return 0, as bytes leave the process at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether this end is closed or lost."""
        return self._closed or self._ended

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        if data and not (self.is_closing() or self._finished_writing):
            self.unacknowledged_bytes += len(data)
            self._send(bytes(data))

    def write_eof(self) -> None:
        """Send the end of the stream; input is still received."""
        if not (self.is_closing() or self._finished_writing):
            self._finished_writing = True
            self._send(_Packet.END)

    def close(self) -> None:
        """Close this end after what has been written."""
        self._close()

    def abort(self) -> None:
        """Close this end at once."""
        self._close()

    def pause_reading(self) -> None:
        """Keep further input unread."""
        self._reading = False

    def resume_reading(self) -> None:
        """Read the input that is kept."""
        if not self._reading:
            self._reading = True
            self._schedule_reading()

    def end_by_kernel(self) -> None:
        """End the connection, as the process has been killed."""
        self._close()

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._process is not None:
            self._process.transports.pop(self, None)
        if not self.was_reset:
            if self.resets or self._inbox:
                self._send(_Packet.RESET)
            elif not self._finished_writing:
                self._send(_Packet.END)
        self._inbox.clear()
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        if not self._ended:
            self._ended = True
            self._loop.call_soon(self._report_end, error, context=self._context)

    def _report_end(self, error: Exception | None) -> None:
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    def _send(self, packet: bytes | _Packet) -> None:
        arrival = max(self._last_arrival, self._loop.now + self._loop.draw_delay())
        self._last_arrival = arrival
        self._in_flight.append(packet)
        self._loop.call_at(arrival, self._arrive, context=Context())

    def _arrive(self) -> None:
        packet = self._in_flight.popleft()
        if isinstance(packet, bytes):
            self.unacknowledged_bytes -= len(packet)
        self.peer._receive(packet)

    def _receive(self, packet: bytes | _Packet) -> None:
        if packet is _Packet.RESET:
            self.was_reset = True
            self._inbox.clear()
            self._end(ConnectionResetError(errno.ECONNRESET, "reset by the peer"))
        elif self._closed:
            if isinstance(packet, bytes):
                self._send(_Packet.RESET)
        elif not self._ended:
            self._inbox.append(packet)
            self._schedule_reading()

    def _schedule_reading(self) -> None:
        if self._protocol is not None and self._inbox:
            self._loop.call_soon(self._read, context=self._context)

    def _read(self) -> None:
        protocol = self._protocol
        if protocol is None or self.is_closing() or not self._reading:
            return
        chunks: list[bytes] = []
        while self._inbox and isinstance(self._inbox[0], bytes):
            chunks.append(cast("bytes", self._inbox.popleft()))
        if chunks:
            protocol.data_received(b"".join(chunks))
            self._schedule_reading()
        elif self._inbox:
            self._inbox.popleft()
            if not protocol.eof_received():
                self._close()


def _create_task(
    loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any
) -> asyncio.Task[Any]:
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, **options)
    context = options.get("context")
    process = _process.get() if context is None else context.get(_process)
    if process is not None:
        process.tasks.append(task)
    return task
