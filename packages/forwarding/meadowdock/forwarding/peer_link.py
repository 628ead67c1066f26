"""One link between two gateways: greeting, calls, their outcomes.

Both sides prove that they know the fleet key, then frames are sealed under the session's key and
sent once a turn. What a broken link says is exact in one direction: a call is unsent only if no
byte of its frame was handed to the socket.
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import ormsgpack

from meadowdock.forwarding.call import Call, Outcome, Rejected, Served
from meadowdock.forwarding.exceptions import PeerProtocolError
from meadowdock.forwarding.outcome_codes import LOST
from meadowdock.forwarding.peer_frames import (
    CALL,
    CANCEL,
    HELLO,
    MAGIC,
    PING,
    PONG,
    PROVED,
    READS_TARGET,
    Frame,
    FrameReader,
    call_frame,
    call_of,
    handle_of,
    outcome_frame,
    outcome_of,
    sent_at_of,
)
from meadowdock.rpc.frame import FrameAuthenticator, derive_key
from meadowdock.rpc.queueing_delay import QueueingDelayEstimator
from meadowdock.runtime import MILLISECOND, monotonic_us
from meadowdock.runtime.slab import Handle, Slab

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Connection
    from meadowdock.forwarding.peers import Peers

GREETING_KEY = b"\x00" * 32  # frames of a greeting are not secret; what they prove is in them
CONNECT_TIMEOUT_US = 400 * MILLISECOND
GREETING_TIMEOUT_US = 2 * CONNECT_TIMEOUT_US  # an opener gives up by then
PING_INTERVAL_US = 200 * MILLISECOND
SILENCE_MAX_US = 600 * MILLISECOND  # with calls pending and nothing received, a link is given up
NONCE_SIZE = 16


class Link:
    """One side of a link.

    Invariants: out holds frames that no byte of was handed to the socket; ready is True once both
    sides proved the key; a link is in reactor.dirty iff marked.
    """

    directions = (b"greeting-out", b"greeting-in")  # of frames that go out, that come in
    session_directions = (b"out", b"in")

    def __init__(self, peers: Peers, connection: Connection | None = None) -> None:
        self.peers, self.connection = peers, connection
        self.out: list[bytes] = []
        self.marked = self.ready = False
        self.received_at = monotonic_us()
        self.nonce = peers.rng.randbytes(NONCE_SIZE)
        out, into = self.directions
        self.sealing, self.frames = (
            FrameAuthenticator(GREETING_KEY, out),
            FrameReader(FrameAuthenticator(GREETING_KEY, into)),
        )

    def send(self, frame: Frame) -> None:
        """Send a frame with the end of this turn, or once the link is ready."""
        self.out.append(ormsgpack.packb(frame))
        if self.ready:
            self.mark()

    def mark(self) -> None:
        """Ask for flush() at the end of this turn."""
        if not self.marked:
            self.marked = True
            self.peers.reactor.dirty.append(self)

    def send_now(self, frame: Frame) -> None:
        """Send a frame of the greeting."""
        assert self.connection is not None
        self.connection.send(self.sealing.seal(ormsgpack.packb(frame)))

    def flush(self) -> None:
        """Send all frames of this turn in one go."""
        self.marked = False
        if self.out and self.ready and self.connection and not self.connection.closed:
            out, self.out = self.out, []
            self.connection.send(b"".join([self.sealing.seal(body) for body in out]))

    def on_data(self, data: bytes) -> None:
        """Bytes of the other side."""
        self.received_at = monotonic_us()
        try:
            for frame in self.frames.feed(data):
                if self.ready:
                    self.on_frame(frame)
                else:
                    self.on_greeting(frame)
        except (ValueError, TypeError, IndexError) as cause:
            self.peers.log(201, cause=repr(cause))
            self.close(cause)

    def close(self, cause: object) -> None:
        """Close the connection, and end what depends on it."""
        assert self.connection is not None
        self.connection.close()
        self.on_end(cause)

    def greeted(self, nonces_and_names: tuple[bytes, ...]) -> None:
        """From here on frames are sealed under the session's key; the frame reader is kept, since it
        may be at work."""
        key = derive_key(self.peers.key, b"session", *nonces_and_names)
        out, into = self.session_directions
        self.sealing, self.frames.proof = (
            FrameAuthenticator(key, out),
            FrameAuthenticator(key, into),
        )
        self.ready = True

    def on_greeting(self, frame: Frame) -> None:
        """A frame before the link is ready.

        :raises PeerProtocolError: the other side doesn't know the fleet key
        """
        raise NotImplementedError

    def on_frame(self, frame: Frame) -> None:
        """A frame of a link that is ready."""
        raise NotImplementedError

    def on_end(self, cause: object) -> None:
        """The link is over."""
        raise NotImplementedError


class OutgoingLink(Link):
    """To a peer.

    Invariants: pending holds the calls that were sent or are in `unsent`; no frame of a call exists
    while it is in `unsent`, so one that is given up there never leaves; over is set once, and then
    pending is empty.
    """

    def __init__(self, peers: Peers, address: str) -> None:
        super().__init__(peers)
        self.address = address
        self.pending: Slab[Call] = Slab()
        self.unsent: dict[Handle, tuple[Call, bool]] = {}  # and whether it may be queued there
        self.reads_target = False  # the peer's version reads a call's latency target and route
        self.over = False
        peers.network.dial(address, monotonic_us() + CONNECT_TIMEOUT_US, self)
        peers.reactor.at(monotonic_us() + GREETING_TIMEOUT_US, self.greeting_timeout)

    # ------------------------------------------------------------ greeting

    def greeting_timeout(self) -> None:
        """The time for the greeting is over."""
        if not self.ready and not self.over:
            if self.connection is not None:
                self.connection.close()
            self.on_end("no greeting in time")

    def on_open(self, connection: Connection) -> None:
        """The peer took the connection."""
        if self.over:
            connection.close()
            return
        self.connection = connection
        self.send_now([HELLO, MAGIC, self.nonce, self.peers.name])

    def on_greeting(self, frame: Frame) -> None:
        """The peer's proof: answer it with ours, and send what waits."""
        _, peer_nonce, name, proof = frame
        facts = (self.nonce, peer_nonce, self.peers.name.encode(), name.encode())
        if not hmac.compare_digest(proof, derive_key(self.peers.key, b"answerer", *facts)):
            raise PeerProtocolError("the peer doesn't know the fleet key")
        self.send_now([PROVED, derive_key(self.peers.key, b"opener", *facts), monotonic_us()])
        self.greeted(facts)
        self.peers.link_ready(self)
        unsent, self.unsent = self.unsent, {}
        for handle, (call, may_queue) in unsent.items():
            self.send_call(handle, call, may_queue)

    # ------------------------------------------------------------ calls

    def run(self, call: Call, may_queue: bool) -> None:
        """Send a call, once the link is ready.

        :param may_queue: it may wait in the peer's queue
        """
        handle = call.peer_handle = self.pending.put(call)
        if self.ready:
            self.send_call(handle, call, may_queue)
        else:
            self.unsent[handle] = call, may_queue

    def send_call(self, handle: Handle, call: Call, may_queue: bool) -> None:
        """What is left of the call's times is as of now, when its frame is made."""
        self.send(call_frame(handle, call, may_queue, self.reads_target, monotonic_us()))
        self.peers.calls.sent(call)

    def on_frame(self, frame: Frame) -> None:
        """An outcome, or what the peer's version can do."""
        outcome = outcome_of(frame)
        if outcome is not None:
            call = self.pending.take(handle_of(frame))
            if call is not None:
                self.report(call, outcome)
        elif frame[0] == READS_TARGET:
            self.reads_target = True

    def report(self, call: Call, outcome: Outcome) -> None:
        """What became of a call at the peer."""
        peers = self.peers
        if isinstance(outcome, Served):
            peers.calls.answered(call, outcome)
        elif isinstance(outcome, Rejected):
            peers.calls.rejected(call, peers.node_address(self.address), outcome)
        else:
            peers.dispatcher.outcome_unknown(call, outcome.code)

    def give_up(self, call: Call) -> None:
        """The call needs no answer any more; one that was not sent never is."""
        handle = call.peer_handle
        assert handle is not None
        if self.pending.take(handle) is not None:
            self.unsent.pop(handle, None)
            if self.ready:
                self.send([CANCEL, *handle])

    def cancel(self, call: Call) -> bool:
        """The call need not begin any more. True if it was never sent; else its outcome follows."""
        handle = call.peer_handle
        assert handle is not None
        if handle in self.unsent:
            self.give_up(call)
            return True
        self.send([CANCEL, *handle])
        return False

    # ------------------------------------------------------------ the end

    def on_fail(self, cause: object) -> None:
        """The peer took no connection."""
        self.on_end(cause)

    def on_end(self, cause: object) -> None:
        """The link is over: what was not sent is placed again, the rest may have run."""
        if self.over:
            return
        self.over = True
        self.peers.link_ended(self, cause)
        unsent, self.unsent = self.unsent, {}
        for handle in list(unsent):
            self.pending.take(handle)
        lost = list(self.pending)
        self.pending = Slab()
        address = self.peers.node_address(self.address)
        for call, _ in unsent.values():
            self.peers.calls.unreached(call, address)
        for call in lost:
            call.tried_peers.add(address)
            self.peers.dispatcher.outcome_unknown(call, LOST)

    def check_silence(self, at: int) -> None:
        """Check that the peer is reachable, only while something is pending."""
        if not self.ready or not len(self.pending):
            self.received_at = max(self.received_at, at - PING_INTERVAL_US)
            return
        if at - self.received_at > SILENCE_MAX_US:
            self.close("silent")
        elif at - self.received_at > PING_INTERVAL_US:
            self.send([PING])


class IncomingLink(Link):
    """From a peer. Invariant: running maps a call's handle to the call that works for it."""

    directions = (b"greeting-in", b"greeting-out")
    session_directions = (b"in", b"out")

    def __init__(self, peers: Peers, connection: Connection) -> None:
        super().__init__(peers, connection)
        connection.owner = self
        self.running: dict[Handle, Call] = {}
        self.lag = QueueingDelayEstimator()
        self.greeting: tuple[bytes, ...] | None = None  # nonces and names of both sides
        self.greeted_at = 0  # when our part of the greeting was sent

    def on_greeting(self, frame: Frame) -> None:
        """First the opener's HELLO, then its proof."""
        if self.greeting is None:
            self.answer_hello(frame)
            return
        if not hmac.compare_digest(frame[1], derive_key(self.peers.key, b"opener", *self.greeting)):
            raise PeerProtocolError("the opener doesn't know the fleet key")
        at = monotonic_us()
        if at - self.greeted_at > GREETING_TIMEOUT_US:
            raise PeerProtocolError("the greeting took too long")  # and calls behind it as long
        if len(frame) > 2:  # else of the former version, which sent no time here
            self.lag.measure(frame[2], at)  # so that the first call's delay is seen, too
        self.greeted(self.greeting)
        self.send([READS_TARGET])

    def answer_hello(self, frame: Frame) -> None:
        """Prove to the opener that this node knows the fleet key."""
        _, magic, peer_nonce, name = frame
        if magic != MAGIC:
            raise PeerProtocolError(f"not a link between gateways: {magic!r}")
        own_name = self.peers.name
        self.greeting = (peer_nonce, self.nonce, name.encode(), own_name.encode())
        proof = derive_key(self.peers.key, b"answerer", *self.greeting)
        self.greeted_at = monotonic_us()
        self.send_now([PROVED, self.nonce, own_name, proof])

    def on_frame(self, frame: Frame) -> None:
        """A call, or what concerns one."""
        kind = frame[0]
        if kind == CALL:
            self.on_call(frame)
        elif kind == PING:
            self.send([PONG])
        elif kind == CANCEL:
            call = self.running.get(handle_of(frame))
            if call is not None:
                self.peers.dispatcher.cancelled(call)

    def on_call(self, frame: Frame) -> None:
        """Run a peer's call."""
        at = monotonic_us()
        lag_us = self.lag.measure(sent_at_of(frame), at)
        handle = handle_of(frame)
        call = call_of(frame, lag_us, at, lambda outcome: self.report(handle, outcome))
        self.running[handle] = call
        self.peers.dispatcher.relocated_here(call)

    def report(self, handle: Handle, outcome: Outcome) -> None:
        """Tell the peer what became of its call."""
        self.running.pop(handle, None)
        self.send(outcome_frame(handle, outcome))

    def on_end(self, cause: object) -> None:
        """The link is over: nobody hears the outcomes of its calls."""
        self.peers.incoming.discard(self)
        for call in list(self.running.values()):
            self.peers.dispatcher.cancelled(call)
