"""Calls over links. Each link is owned by two tasks (writer, reader); others send it messages.

What a call's breakdown says is exact in one direction: `sent` is False only if no byte of the
call was handed to the socket.
"""

from __future__ import annotations

import hmac
import os
from dataclasses import dataclass, field

import ormsgpack
import trio

from meadowdock.rpc.frame import (
    FrameAuthenticator,
    FrameReader,
    derive_key,
    read_frame,
    write_frame,
)
from meadowdock.runtime import MILLISECOND, SECOND, deadline_scope, monotonic_us
from meadowdock.runtime.slab import Slab

MAGIC = "md1"
GREETING_WAIT = SECOND
SILENCE = 200 * MILLISECOND
BLANK = b"\x00" * 32
REQUEST, RESPONSE, REJECTION, CANCEL = range(4)
BROKEN = (OSError, EOFError, ValueError, trio.BrokenResourceError, trio.ClosedResourceError)


class ConnectionFailed(Exception):
    def __init__(self, sent, cause):
        super().__init__(f"{'sent' if sent else 'unsent'}: {cause}")
        self.sent = sent


class Rejected(Exception):
    """The peer's handler refused: a code and its details."""

    def __init__(self, code, **details):
        super().__init__(code)
        self.code = code
        self.details = details


@dataclass(frozen=True)
class Peer:
    name: str
    address: str  # where it can be reached, as it says itself under the fleet key


def pack(value):
    return ormsgpack.packb(value, option=ormsgpack.OPT_NON_STR_KEYS)


def unpack(data):
    return ormsgpack.unpackb(data, option=ormsgpack.OPT_NON_STR_KEYS)


class Handlers:
    """A table of what a process answers on links, filled by decorators."""

    def __init__(self):
        self.table = {}

    def on(self, method):
        def register(handler):
            self.table[method] = handler
            return handler

        return register

    def bind(self, owner):
        """The table of a class, bound to one of its objects."""
        made = Handlers()
        made.table = {method: handler.__get__(owner) for method, handler in self.table.items()}
        return made

    def __or__(self, other):
        made = Handlers()
        made.table = {**self.table, **other.table}
        return made


class Rest(bytes):
    """The end of a frame that the socket took only in part: sealed already."""


class FrameWriter:
    """Frames towards the peer, in order. What the socket takes goes to it at once, in the turn of
    whoever has it; the rest, and all on streams that have no socket, goes by the writer task.

    Invariants: frames are sealed in the order in which they are sent; idle means that nothing
    waits for the writer and it sends nothing."""

    def __init__(self, size):
        self.send, self.holding = trio.open_memory_channel(size)
        self.socket = self.out = None
        self.idle = True

    def attach(self, stream, out):
        self.socket, self.out = getattr(stream, "socket", None), out

    def at_once(self):
        return self.idle and self.socket is not None

    def put(self, body, mark=None):
        """Raises trio.WouldBlock if too many wait, trio.ClosedResourceError once closed."""
        if self.at_once():
            frame = self.out.seal(body)
            try:
                taken = os.write(self.socket.fileno(), frame)
            except OSError:  # full, or broken: the writer finds out which
                taken = 0
            if taken == len(frame):
                return
            body, mark = Rest(frame[taken:]), None
        self.send.send_nowait((mark, body))
        self.idle = False

    def more(self, first, most=64):
        frames = [first]
        while len(frames) < most:
            try:
                frames.append(self.holding.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                break
        return frames

    def sealed(self, bodies):
        return b"".join(b if isinstance(b, Rest) else self.out.seal(b) for b in bodies)

    def sent(self):
        self.idle = not self.holding.statistics().current_buffer_used


# ---------------------------------------------------------------- greeting


async def client_handshake(stream, key, rng, me: Peer):
    """The opener's side: proves itself and the peer; gives reader, proofs and the peer."""
    mine = rng.randbytes(16)
    reader = FrameReader(stream)
    plain = FrameAuthenticator(BLANK, b"greeting-out"), FrameAuthenticator(BLANK, b"greeting-in")
    await write_frame(stream, plain[0], pack([MAGIC, mine, me.name, me.address]))
    theirs, name, proof = unpack(await read_frame(reader, plain[1]))
    facts = (mine, theirs, me.name.encode(), me.address.encode(), name.encode())
    if not hmac.compare_digest(proof, derive_key(key, b"answerer", *facts)):
        raise ValueError("the peer doesn't know the fleet key")
    await write_frame(stream, plain[0], pack(derive_key(key, b"opener", *facts)))
    session = derive_key(key, b"session", *facts)
    return (
        reader,
        FrameAuthenticator(session, b"out"),
        FrameAuthenticator(session, b"in"),
        Peer(name, ""),
    )


async def server_handshake(stream, key, rng, name):
    reader = FrameReader(stream)
    plain = FrameAuthenticator(BLANK, b"greeting-in"), FrameAuthenticator(BLANK, b"greeting-out")
    magic, theirs, peer_name, address = unpack(await read_frame(reader, plain[1]))
    if magic != MAGIC:
        raise ValueError("not a link of ours")
    mine = rng.randbytes(16)
    facts = (theirs, mine, peer_name.encode(), address.encode(), name.encode())
    await write_frame(stream, plain[0], pack([mine, name, derive_key(key, b"answerer", *facts)]))
    if not hmac.compare_digest(
        unpack(await read_frame(reader, plain[1])), derive_key(key, b"opener", *facts)
    ):
        raise ValueError("the opener doesn't know the fleet key")
    session = derive_key(key, b"session", *facts)
    return (
        reader,
        FrameAuthenticator(session, b"in"),
        FrameAuthenticator(session, b"out"),
        Peer(peer_name, address),
    )


# ---------------------------------------------------------------- answering side


class QueueingDelayEstimator:
    """How long a frame lay between the two processes, beyond the least seen of late. The two
    clocks are never compared, only their difference with itself.

    >>> lag = QueueingDelayEstimator()
    >>> lag.measure(1_000, 501_000), lag.measure(2_000, 502_000), lag.measure(3_000, 9_503_000)
    (0, 0, 9000000)
    """

    # Invariant: least holds the smallest difference of this span and of the one before, so that
    # two clocks that drift apart are not taken for a lag.
    SPAN = 10 * SECOND

    def __init__(self):
        self.begun = None
        self.least = [float("inf"), float("inf")]

    def measure(self, sent_at, came_at):
        if self.begun is None or came_at - self.begun > QueueingDelayEstimator.SPAN:
            self.begun = came_at
            self.least = [self.least[1], float("inf")]
        apart = came_at - sent_at
        self.least[1] = min(self.least[1], apart)
        return apart - min(self.least)


async def serve_connection(stream, key, rng, name, handlers, log):
    """One incoming link, until it ends. Handlers run as tasks of the link."""
    async with stream:
        try:
            with trio.fail_after(GREETING_WAIT / SECOND):
                reader, out, into, peer = await server_handshake(stream, key, rng, name)
        except (*BROKEN, trio.TooSlowError, TypeError, ormsgpack.MsgpackDecodeError) as cause:
            # who gives up while greeting, since another answered it sooner, failed no proof
            if not isinstance(cause, (EOFError, trio.BrokenResourceError)):
                log(201, cause=repr(cause))
            return
        sender = FrameWriter(1024)
        sender.attach(stream, out)
        # Invariant: running maps ids of calls being answered on this link to their scopes.
        running = {}
        lag = QueueingDelayEstimator()

        async def write():
            async for first in sender.holding:
                try:
                    await stream.send_all(sender.sealed(b for _, b in sender.more(first)))
                except BROKEN:  # the peer is gone; the reader's end closes the link
                    nursery.cancel_scope.cancel()
                sender.sent()

        async def handle(id, method, args, scope):
            with scope:
                await trio.lowlevel.checkpoint_if_cancelled()
                try:
                    handler = handlers.table.get(method)
                    if handler is None:
                        raise Rejected("no_such_method", method=method)
                    reply = pack([RESPONSE, id, await handler(peer, args)])
                except Rejected as shed:
                    reply = pack([REJECTION, id, shed.code, shed.details])
                except Exception as cause:  # a handler's defect must not end the link
                    log(105, task=f"link:{method}", cause=repr(cause))
                    reply = pack([REJECTION, id, "broke", {"cause": repr(cause)}])
                running.pop(id, None)
                try:
                    sender.put(reply)
                except trio.WouldBlock:
                    await sender.send.send((None, reply))
            running.pop(id, None)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            try:
                while True:
                    kind, id, *rest = unpack(await read_frame(reader, into))
                    if kind == REQUEST:
                        method, args, left, sent_at = rest
                        left -= lag.measure(sent_at, monotonic_us())
                        # a cancel may lie right behind its call: the scope is there before the task
                        scope = running[tuple(id)] = deadline_scope(monotonic_us() + left)
                        if left <= 0:
                            scope.cancel()
                        nursery.start_soon(handle, tuple(id), method, args, scope)
                    elif kind == CANCEL and tuple(id) in running:
                        running[tuple(id)].cancel()
            except BROKEN as cause:
                if not isinstance(cause, EOFError):
                    log(202, peer=peer.name, cause=repr(cause))
            finally:
                nursery.cancel_scope.cancel()


# ---------------------------------------------------------------- asking side


@dataclass
class Pending:
    # Invariant: sent is set before the first byte of the call is handed to the socket.
    done: trio.Event = field(default_factory=trio.Event)
    sent: bool = False
    outcome: object = None


class ClientConnection:
    """An open link. Invariant: once broken is set no call is accepted and none is left pending."""

    def __init__(self, peer, heard):
        self.peer = peer
        self.pending = Slab()
        self.sender = FrameWriter(4096)
        self.broken = None
        self.retired = False
        self.heard = heard

    async def run(self, stream, reader, out, into):
        self.sender.attach(stream, out)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.write, stream)
                nursery.start_soon(self.read, reader, into)
        except BaseExceptionGroup as group:
            known, rest = group.split(BROKEN)
            self.fail(known.exceptions[0] if known else group)
            if rest is not None:
                raise
        finally:
            self.fail("closed")
            await trio.aclose_forcefully(stream)

    def fail(self, cause):
        if self.broken is None:
            self.broken = cause
            for pending in self.pending:
                pending.outcome = ConnectionFailed(pending.sent, cause)
                pending.done.set()

    async def write(self, stream):
        sender = self.sender
        async for first in sender.holding:
            frames = sender.more(first)
            # a call that was given up before its turn is left out: it never reaches the peer
            live = [f for f in frames if f[0] is None or self.pending.live(f[0])]
            for handle, _ in live:
                if handle is not None:
                    self.pending.get(handle).sent = True
            if live:
                await stream.send_all(sender.sealed(body for _, body in live))
            sender.sent()
        raise EOFError("link left")

    async def read(self, reader, into):
        while True:
            kind, id, *rest = unpack(await read_frame(reader, into))
            self.heard = monotonic_us()
            pending = self.pending.get(tuple(id))
            if pending is None:
                continue  # given up, or an earlier tenant of the slot
            if kind == RESPONSE:
                pending.outcome = rest[0]
            else:
                pending.outcome = Rejected(rest[0], **rest[1])
            pending.done.set()

    async def call(self, method, args, deadline):
        if self.broken is not None:
            raise ConnectionFailed(False, self.broken)
        asked = monotonic_us()
        pending = Pending()
        handle = self.pending.put(pending)
        body = pack([REQUEST, handle, method, args, max(0, deadline - asked), asked])
        pending.sent = self.sender.at_once()
        try:
            self.sender.put(body, handle)
        except trio.WouldBlock:
            self.pending.take(handle)
            raise ConnectionFailed(False, "link is clogged") from None
        try:
            with deadline_scope(deadline):
                await pending.done.wait()
        finally:
            self.pending.take(handle)
            if not pending.done.is_set() and pending.sent:
                self.cancel(handle)
                # silent for a whole call: new calls go over another link, pending ones may end
                self.retired |= (
                    self.heard < asked
                    and deadline <= monotonic_us()
                    and deadline - asked >= SILENCE
                )
            if self.retired and not len(self.pending):
                self.sender.send.close()
        if not pending.done.is_set():
            raise ConnectionFailed(pending.sent, "no answer by the deadline")
        if isinstance(pending.outcome, Exception):
            raise pending.outcome
        return pending.outcome

    def cancel(self, handle):
        try:
            self.sender.put(pack([CANCEL, handle]))
        except (trio.WouldBlock, trio.ClosedResourceError):
            pass


def usable(link):
    return link is not None and link.broken is None and not link.retired


class ConnectionPool:
    """Links to peers, opened when first needed. Invariant: at most one opening per address."""

    def __init__(self, nursery, net, key, rng, me, log, open_wait=500 * MILLISECOND):
        self.nursery, self.net, self.key, self.rng = nursery, net, key, rng
        self.me, self.log, self.open_wait = me, log, open_wait
        self.connections = {}
        self.opening = {}

    async def call(self, address, method, args, deadline):
        link = self.connections.get(address)
        if not usable(link):
            link = await self.open(address, deadline)
        return await link.call(method, args, deadline)

    async def open(self, address, deadline):
        while address in self.opening:
            with deadline_scope(deadline):
                await self.opening[address].wait()
            link = self.connections.get(address)
            if usable(link):
                return link
            if monotonic_us() >= deadline:
                raise ConnectionFailed(False, "no link by the deadline")
        self.opening[address] = trio.Event()
        try:
            with deadline_scope(min(deadline, monotonic_us() + self.open_wait)):
                stream = await self.net.open_stream(address)
                try:
                    reader, out, into, peer = await client_handshake(
                        stream, self.key, self.rng, self.me
                    )
                except BaseException:
                    await trio.aclose_forcefully(stream)
                    raise
                link = self.connections[address] = ClientConnection(peer, monotonic_us())
                self.nursery.start_soon(self.own, link, stream, reader, out, into)
                return link
            raise ConnectionFailed(False, "no link by the deadline")
        except (*BROKEN, TypeError, ormsgpack.MsgpackDecodeError) as cause:
            raise ConnectionFailed(False, cause) from cause
        finally:
            self.opening.pop(address).set()

    async def own(self, link, stream, reader, out, into):
        await link.run(stream, reader, out, into)
        self.log(202, peer=link.peer.name, cause=str(link.broken))

    async def successful_responses(self, asks, deadline):
        """As call_all, without those that gave no answer."""
        told = await self.call_all(asks, deadline)
        return {key: answer for key, answer in told.items() if not isinstance(answer, Exception)}

    async def call_all(self, asks, deadline):
        """Ask many at once. asks: {key: (address, method, args)}; gives {key: answer or error}."""
        answers = {}

        async def one(key, address, method, args):
            try:
                answers[key] = await self.call(address, method, args, deadline)
            except (ConnectionFailed, Rejected) as cause:
                answers[key] = cause

        *others, last = asks.items() or [(None, None)]
        async with trio.open_nursery() as nursery:
            for key, ask in others:
                nursery.start_soon(one, key, *ask)
            if last[1] is not None:
                await one(last[0], *last[1])  # this task would only wait for the rest
        return answers
