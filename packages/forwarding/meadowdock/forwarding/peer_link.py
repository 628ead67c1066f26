"""A link between two gateways: its handshake, the calls on it and their outcomes.

Both sides prove that they know the fleet key. After that, frames are authenticated with the session
key and sent once per turn of the reactor. When a link breaks, a call counts as unsent only if no
byte of its frame was handed to the socket, or its body was not sent to its end (`peer_bodies`).
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import ormsgpack

from meadowdock.forwarding.byte_parts import joined_parts
from meadowdock.forwarding.call import Call, Outcome, Rejected, Served
from meadowdock.forwarding.exceptions import PeerProtocolError
from meadowdock.forwarding.outcome_codes import CONNECTION_LOST, DEADLINE_PASSED, NO_MEMORY
from meadowdock.forwarding.peer_answers import (
    PeerAnswer,
    RelayedAnswer,
    begin_peer_answer,
    collect_for_peer,
)
from meadowdock.forwarding.peer_bodies import (
    LINK_QUEUE_BYTES,
    WHOLE_CALL_BODY_BYTES,
    ArrivingBody,
    SentBodies,
)
from meadowdock.forwarding.peer_frames import (
    ANSWER,
    BODY,
    CALL,
    CALL_HEAD,
    CALL_MAX_BYTES,
    CANCEL,
    CREDIT,
    END,
    HELLO,
    MAGIC,
    PART,
    PING,
    PONG,
    PROOF,
    READS_BODIES,
    READS_PARTS,
    READS_TARGET,
    Frame,
    FrameReader,
    announced_length,
    call_handle,
    decode_call,
    decode_outcome,
    encode_call,
    encode_call_head,
    encode_outcome,
    frame_sent_at,
)
from meadowdock.logs import events as log_events
from meadowdock.rpc.frame import (
    HANDSHAKE_MAX_FRAME_SIZE,
    MAX_FRAME_SIZE,
    FrameAuthenticator,
    derive_key,
)
from meadowdock.rpc.queueing_delay import QueueingDelayEstimator
from meadowdock.runtime import MILLISECOND, SECOND, monotonic_us
from meadowdock.runtime.held_body import held
from meadowdock.runtime.slab import Handle, Slab

if TYPE_CHECKING:
    from meadowdock.forwarding.interfaces import Connection
    from meadowdock.forwarding.peers import Peers
    from meadowdock.runtime.peer_connections import PeerConnection

# Handshake frames need no secret key: the proofs of the fleet key are inside them.
HANDSHAKE_KEY = b"\x00" * 32
CONNECT_TIMEOUT_US = 400 * MILLISECOND
# Since the dial, after which an opener gives up. The answerer counts it from its answer to HELLO.
HANDSHAKE_TIMEOUT_US = 2 * CONNECT_TIMEOUT_US
PING_INTERVAL_US = 200 * MILLISECOND
# A link with pending calls is closed if nothing was received on it for this long.
SILENCE_TIMEOUT_US = 600 * MILLISECOND
NONCE_BYTES = 16
# What parts of calls and answers take of a link at most; it isn't given up for less.
FRAMES_IN_PARTS_BYTES = 4 << 20
HELLO_TIMEOUT_US = 5 * SECOND  # since the accept, after which a link that isn't ready is closed


class Link:
    """One side of a link.

    Invariants: outbox holds frames of which no byte was handed to the socket; ready is True once
    both sides have proved that they know the key; a link is in reactor.flush_pending iff
    flush_requested.
    """

    # The names under which outgoing and incoming frames are authenticated.
    handshake_directions = (b"greeting-out", b"greeting-in")
    session_directions = (b"out", b"in")

    def __init__(self, peers: Peers, connection: Connection | None = None) -> None:
        self.peers, self.connection = peers, connection
        self.outbox: list[bytes] = []
        self.flush_requested = self.ready = False
        self.received_at = monotonic_us()
        self.nonce = peers.rng.randbytes(NONCE_BYTES)
        outgoing, incoming = self.handshake_directions
        self.sealer, self.frame_reader = (
            FrameAuthenticator(HANDSHAKE_KEY, outgoing),
            FrameReader(FrameAuthenticator(HANDSHAKE_KEY, incoming), HANDSHAKE_MAX_FRAME_SIZE),
        )

    def send(self, frame: Frame) -> None:
        """Send a frame at the end of this turn, or once the link is ready."""
        self.outbox.append(ormsgpack.packb(frame))
        if self.ready:
            self.request_flush()

    def request_flush(self) -> None:
        """Request a flush() at the end of this turn."""
        if not self.flush_requested:
            self.flush_requested = True
            self.peers.reactor.flush_pending.append(self)

    def send_handshake_frame(self, frame: Frame) -> None:
        """Send a frame of the handshake."""
        assert self.connection is not None
        self.connection.send(self.sealer.seal(ormsgpack.packb(frame)))

    def flush(self) -> None:
        """Send all frames of this turn with one write."""
        self.flush_requested = False
        if self.outbox and self.ready and self.connection and not self.connection.closed:
            outgoing, self.outbox = self.outbox, []
            for data in joined_parts([self.sealer.seal(body) for body in outgoing]):
                self.connection.send(data)
            self.update_memory()

    def held_bytes(self) -> int:
        """Return what the link holds: an incomplete frame, and what the other side hasn't taken."""
        unsent = self.connection.unsent_size if self.connection is not None else 0
        return len(self.frame_reader.partial) + unsent

    def update_memory(self) -> None:
        """Enter what the link holds into the account of the process."""
        raise NotImplementedError

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the other side."""
        self.received_at = monotonic_us()
        try:
            for frame in self.frame_reader.feed(data):
                if self.ready:
                    self.on_frame(frame)
                else:
                    self.on_handshake_frame(frame)
        except (ValueError, TypeError, IndexError) as cause:
            self.peers.log(log_events.CONNECTION_REJECTED, cause=repr(cause))
            self.close(cause)

    def close(self, cause: object) -> None:
        """Close the connection and end the calls on it."""
        assert self.connection is not None
        self.connection.close()
        self.on_end(cause)

    def complete_handshake(self, transcript: tuple[bytes, ...]) -> None:
        """Authenticate frames with the session key from now on.

        The frame reader is kept, since it may be in the middle of a read.

        :param transcript: the nonces and names of the opener and the answerer
        """
        key = derive_key(self.peers.key, b"session", *transcript)
        outgoing, incoming = self.session_directions
        self.sealer, self.frame_reader.authenticator = (
            FrameAuthenticator(key, outgoing),
            FrameAuthenticator(key, incoming),
        )
        self.frame_reader.max_size = MAX_FRAME_SIZE
        self.ready = True

    def on_handshake_frame(self, frame: Frame) -> None:
        """Handle a frame of the handshake.

        :raises PeerProtocolError: the other side doesn't know the fleet key
        """
        raise NotImplementedError

    def on_frame(self, frame: Frame) -> None:
        """Handle a frame on a link that is ready."""
        raise NotImplementedError

    def on_end(self, cause: object) -> None:
        """Handle the end of the link."""
        raise NotImplementedError


class OutgoingLink(Link):
    """A link that this node has opened, on which it sends calls to a peer.

    Invariants: pending holds the calls that were sent or are in `unsent`; there is no frame of a
    call that is in `unsent`, so a call that is abandoned there is never sent; bodies holds those of
    pending calls that are not sent to their end, so that these have not run; answers holds those of
    pending calls that are passed on while they arrive; ended is set once, and pending is empty from
    then on.

    :ivar reads_bodies: the peer reads calls in parts; None until it has sent something.
    """

    def __init__(self, peers: Peers, address: str) -> None:
        super().__init__(peers)
        self.address = address
        self.pending: Slab[Call] = Slab()
        # the calls that wait for the link to be ready, or for what the peer reads to be known, with
        # whether the peer may queue them
        self.unsent: dict[Handle, tuple[Call, bool]] = {}
        self.answers: dict[Handle, PeerAnswer] = {}
        self.bodies = SentBodies()
        self.reads_bodies: bool | None = None
        self.reads_target = False  # the peer reads the latency target and the route of a call
        self.ended = self.parts_announced = False
        self.memory = peers.memory.open(self)
        self.memory.is_peer = True
        peers.network.dial(address, monotonic_us() + CONNECT_TIMEOUT_US, self)
        peers.reactor.call_at(monotonic_us() + HANDSHAKE_TIMEOUT_US, self.on_handshake_timeout)

    def on_handshake_timeout(self) -> None:
        """Close the link if the handshake has not completed in time."""
        if not self.ready and not self.ended:
            if self.connection is not None:
                self.connection.close()
            self.on_end(f"handshake not completed within {HANDSHAKE_TIMEOUT_US // MILLISECOND} ms")

    def on_open(self, connection: Connection) -> None:
        """Start the handshake on an open connection."""
        if self.ended:
            connection.close()
            return
        self.connection = connection
        connection.on_drained = self.on_drained
        self.send_handshake_frame([HELLO, MAGIC, self.nonce, self.peers.name])

    def on_handshake_frame(self, frame: Frame) -> None:
        """Verify the peer's proof, answer it with this node's and send the waiting calls."""
        _, peer_nonce, name, proof = frame
        transcript = (self.nonce, peer_nonce, self.peers.name.encode(), name.encode())
        if not hmac.compare_digest(proof, derive_key(self.peers.key, b"answerer", *transcript)):
            raise PeerProtocolError("the peer doesn't know the fleet key")
        self.send_handshake_frame(
            [PROOF, derive_key(self.peers.key, b"opener", *transcript), monotonic_us()]
        )
        self.complete_handshake(transcript)
        self.peers.on_link_ready(self)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Send the calls that have waited."""
        unsent, self.unsent = self.unsent, {}
        for handle, (call, may_queue) in unsent.items():
            self.send_call(handle, call, may_queue)

    def submit(self, call: Call, may_queue: bool) -> None:
        """Send a call, once the link is ready.

        :param may_queue: the call may wait in the peer's queue
        """
        handle = call.peer_handle = self.pending.put(call)
        if self.ready:
            self.send_call(handle, call, may_queue)
        else:
            self.unsent[handle] = call, may_queue

    def send_call(self, handle: Handle, call: Call, may_queue: bool) -> None:
        """Send a call, with the time that is left now until each of its deadlines.

        A large one waits until it is known what the peer reads; its body follows in parts.
        """
        is_large = len(call.body) > WHOLE_CALL_BODY_BYTES
        if is_large and self.reads_bodies is None:
            self.unsent[handle] = call, may_queue
            return
        if not self.reads_bodies and call.size > CALL_MAX_BYTES:
            self.pending.take(handle)
            self.peers.calls.on_too_large(call, self.peers.node_address(self.address))
            return
        if not self.parts_announced:
            self.parts_announced = True
            self.send([READS_PARTS])
        now = monotonic_us()
        if is_large and self.reads_bodies:
            self.send(encode_call_head(handle, call, may_queue, now))
            self.bodies.add(handle, call)
        else:
            self.send(encode_call(handle, call, may_queue, self.reads_target, now))
        self.peers.calls.on_sent(call)

    def send_bodies(self) -> None:
        """Send the next parts of bodies, unless enough of them waits already."""
        if self.ended or self.connection is None or self.connection.closed:
            return
        for frame in self.bodies.next_parts(LINK_QUEUE_BYTES - self.connection.unsent_size):
            self.send(frame)
        if self.bodies.have_credit() and not self.connection.unsent_size:
            # the kernel may take these parts at once, and then nothing drains
            self.peers.reactor.call_at(monotonic_us(), self.on_drained)

    def on_drained(self) -> None:
        """Send further parts once the peer has taken some."""
        if self.connection is not None and self.connection.unsent_size <= LINK_QUEUE_BYTES // 2:
            self.send_bodies()

    def on_capability(self, reads_bodies: bool) -> None:
        """Note whether the peer reads calls in parts, which it says before anything else."""
        if self.reads_bodies is None:
            self.reads_bodies = reads_bodies
            self.send_waiting()

    def on_frame(self, frame: Frame) -> None:
        """Handle the outcome of a call, or the announcement of a capability."""
        kind = frame[0]
        self.on_capability(kind == READS_BODIES)
        outcome = decode_outcome(frame)
        if outcome is not None:
            handle = call_handle(frame)
            self.bodies.discard(handle)
            call = self.pending.take(handle)
            if call is not None:
                self.report(call, outcome)
        elif kind == CREDIT:
            if self.bodies.on_credit(call_handle(frame), frame[3]):
                self.send_bodies()
        elif kind in (PART, END):
            answer = self.answers.get(call_handle(frame))
            if answer is not None:
                answer.on_part(frame[3]) if kind == PART else answer.on_end(frame[3])
        elif kind == ANSWER:
            begin_peer_answer(self, frame)
        elif kind == READS_TARGET:
            self.reads_target = True

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the peer, and enter those of an incomplete frame into the account."""
        super().on_data(data)
        if self.frame_reader.partial or self.memory.size:
            self.memory.received(len(data), is_complete=not self.frame_reader.partial)
            self.update_memory()
            self.memory.memory.relieve()

    def update_memory(self) -> None:
        """Enter what the link holds into the account of the process."""
        self.memory.resize(self.held_bytes())

    def may_be_given_up(self) -> bool:
        """Return whether it holds more than parts take: a whole frame of a peer that sends no parts."""
        return self.memory.size > FRAMES_IN_PARTS_BYTES

    def give_up(self) -> None:
        """Close the link, as its memory is needed."""
        self.close("no memory for its frames")

    def report(self, call: Call, outcome: Outcome) -> None:
        """Report the outcome of a call at the peer."""
        peers = self.peers
        if isinstance(outcome, Served):
            peers.calls.on_answered(call, outcome)
        elif isinstance(outcome, Rejected):
            peers.calls.on_rejected(call, peers.node_address(self.address), outcome)
        else:
            peers.dispatcher.on_outcome_unknown(call, outcome.code)

    def is_unsent(self, call: Call) -> bool:
        """Return whether a call has not been sent to its end, so that it has not run."""
        return call.peer_handle in self.unsent or call.peer_handle in self.bodies

    def is_sending(self, call: Call) -> bool:
        """Return whether a part of a call's body is not sent yet."""
        return call.peer_handle in self.bodies

    def abandon(self, call: Call) -> None:
        """Forget a call whose outcome is not needed; if it is unsent, it is never sent."""
        handle = call.peer_handle
        assert handle is not None
        if self.pending.take(handle) is not None:
            self.unsent.pop(handle, None)
            self.bodies.discard(handle)
            if self.ready:
                self.send([CANCEL, *handle])

    def cancel(self, call: Call) -> bool:
        """Cancel a call that may not have started yet.

        Return True if it was never sent to its end. Otherwise the peer still reports its outcome.
        """
        handle = call.peer_handle
        assert handle is not None
        if self.is_unsent(call):
            self.abandon(call)
            return True
        self.send([CANCEL, *handle])
        return False

    def on_fail(self, cause: object) -> None:
        """End the link because no connection to the peer could be opened."""
        self.on_end(cause)

    def on_end(self, cause: object) -> None:
        """End the link: unsent calls are placed again, and the others may have run."""
        if self.ended:
            return
        self.ended = True
        self.memory.close()
        self.peers.on_link_ended(self, cause)
        for answer in list(self.answers.values()):
            answer.on_end(CONNECTION_LOST)
        unsent, self.unsent = self.unsent, {}
        not_run = [call for call, _ in unsent.values()]
        half_sent = self.bodies.take_all()
        for call in half_sent:
            call.attempts -= 1
        for call in not_run + half_sent:
            assert call.peer_handle is not None
            self.pending.take(call.peer_handle)
        lost = list(self.pending)
        self.pending = Slab()
        address = self.peers.node_address(self.address)
        for call in not_run + half_sent:
            self.peers.calls.on_unreached(call, address)
        for call in lost:
            call.tried_peers.add(address)
            self.peers.dispatcher.on_outcome_unknown(call, CONNECTION_LOST)

    def check_silence(self, now: int) -> None:
        """Ping a silent peer while calls are pending, and close the link if it stays silent."""
        if not self.ready or not len(self.pending):
            self.received_at = max(self.received_at, now - PING_INTERVAL_US)
            return
        assert self.connection is not None  # as it is ready
        # a peer that still takes a large call reads the ping behind it only afterwards
        last_sign_at = max(self.received_at, self.connection.blocked_since)
        if now - last_sign_at > SILENCE_TIMEOUT_US:
            self.close(f"nothing received within {SILENCE_TIMEOUT_US // MILLISECOND} ms")
        elif now - self.received_at > PING_INTERVAL_US:
            self.send([PING])


class IncomingLink(Link):
    """A link that a peer has opened, on which it sends calls to this node.

    Invariants: running maps the peer's handle of a call to the call until its outcome is sent; arriving
    has those whose body is not complete; answers has those whose answer is passed on while it arrives.

    :ivar reads_parts: the peer reads such answers.
    :ivar entry: the link in the bounds and the account of the process, None if there is no room.
    """

    handshake_directions = (b"greeting-in", b"greeting-out")
    session_directions = (b"in", b"out")

    def __init__(self, peers: Peers, connection: Connection) -> None:
        super().__init__(peers, connection)
        connection.owner = self
        self.running: dict[Handle, Call] = {}
        self.arriving: dict[Handle, ArrivingBody] = {}
        self.answers: dict[Handle, RelayedAnswer] = {}
        self.reads_parts = False
        self.queueing_delay = QueueingDelayEstimator()
        self.transcript: tuple[bytes, ...] | None = None  # nonces and names of both sides
        self.hello_answered_at = 0  # when this node sent its proof
        self.accepted_at = monotonic_us()
        self.entry: PeerConnection | None = peers.limits.accept(
            self.close_for_others,
            lambda: bool(self.running or self.arriving or self.answers),
            FRAMES_IN_PARTS_BYTES,
        )

    def close_for_others(self) -> None:
        """Close the link, as its place or its memory is needed."""
        self.close("closed for others")

    def check_handshake(self, now: int) -> None:
        """Close the link if the handshake has not completed in time."""
        if not self.ready and now - self.accepted_at > HELLO_TIMEOUT_US:
            self.close("no handshake in time")

    def on_data(self, data: bytes) -> None:
        """Handle bytes from the peer, and enter those of an incomplete frame into the account."""
        super().on_data(data)
        entry, held = self.entry, self.held_bytes()
        if entry is None:
            return
        entry.received_at = self.received_at
        if held or entry.memory.size:
            entry.received(len(data), held)

    def update_memory(self) -> None:
        """Enter what the link holds into the account of the process."""
        if self.entry is not None:
            self.entry.memory.resize(self.held_bytes())

    def on_handshake_frame(self, frame: Frame) -> None:
        """Handle the opener's HELLO, or the proof that follows it."""
        if self.transcript is None:
            self.on_hello(frame)
            return
        if not hmac.compare_digest(
            frame[1], derive_key(self.peers.key, b"opener", *self.transcript)
        ):
            raise PeerProtocolError("the opener doesn't know the fleet key")
        now = monotonic_us()
        if now - self.hello_answered_at > HANDSHAKE_TIMEOUT_US:
            # the calls that follow on the link were delayed just as long
            raise PeerProtocolError(
                f"handshake took {now - self.hello_answered_at} us, {HANDSHAKE_TIMEOUT_US} us at most"
            )
        if len(frame) > 2:  # the previous version sent no time here
            # with this sample the delay can be measured from the first call on
            self.queueing_delay.measure(frame[2], now)
        if self.entry is None or not self.entry.authenticated():
            raise PeerProtocolError("no room for the link of another peer")
        self.complete_handshake(self.transcript)
        self.send([READS_BODIES])
        self.send([READS_TARGET])

    def on_hello(self, frame: Frame) -> None:
        """Prove to the opener that this node knows the fleet key.

        :raises PeerProtocolError: the opener speaks another protocol
        """
        _, magic, peer_nonce, name = frame
        if magic != MAGIC:
            raise PeerProtocolError(
                f"not a link between gateways: magic is {magic!r}, not {MAGIC!r}"
            )
        own_name = self.peers.name
        self.transcript = (peer_nonce, self.nonce, name.encode(), own_name.encode())
        proof = derive_key(self.peers.key, b"answerer", *self.transcript)
        self.hello_answered_at = monotonic_us()
        self.send_handshake_frame([PROOF, self.nonce, own_name, proof])

    def on_frame(self, frame: Frame) -> None:
        """Handle a call, the cancellation of one, or a ping."""
        kind = frame[0]
        if kind == CALL:
            self.on_call(frame)
        elif kind == CALL_HEAD:
            self.on_call_head(frame)
        elif kind == BODY:
            self.on_body(call_handle(frame), frame[3])
        elif kind == PING:
            self.send([PONG])
        elif kind == CREDIT:
            answer = self.answers.get(call_handle(frame))
            if answer is not None:
                answer.on_credit(frame[3])
        elif kind == CANCEL:
            self.on_cancel(call_handle(frame))
        elif kind == READS_PARTS:
            self.reads_parts = True

    def on_cancel(self, handle: Handle) -> None:
        """Cancel a call of the peer, or the rest of its answer."""
        self.arriving.pop(handle, None)
        call = self.running.get(handle)
        answer = self.answers.pop(handle, None)
        if call is not None:
            self.peers.dispatcher.cancel(call)
        elif answer is not None:
            answer.stream.cancel()

    def decode_arrived(self, frame: Frame) -> Call:
        """Return the call of a frame that has arrived now."""
        now = monotonic_us()
        queueing_delay_us = self.queueing_delay.measure(frame_sent_at(frame), now)
        handle = call_handle(frame)
        return decode_call(
            frame, queueing_delay_us, now, lambda outcome: self.report(handle, outcome)
        )

    def on_call(self, frame: Frame) -> None:
        """Dispatch a call of the peer."""
        call = self.decode_arrived(frame)
        if not self.peers.memory.has_room(len(call.body)):
            self.send_outcome(call_handle(frame), Rejected(NO_MEMORY, 0))
            return
        call.body = held(call.body, self.peers.memory)
        self.dispatch(call_handle(frame), call)

    def on_call_head(self, frame: Frame) -> None:
        """Reserve the room for the body of a call and have it sent, or reject the call."""
        handle, length = call_handle(frame), announced_length(frame)
        call, memory = self.decode_arrived(frame), self.peers.memory
        rejected = self.peers.dispatcher.rejection_at_head(call)
        if rejected is None and not memory.has_room(length):
            rejected = Rejected(NO_MEMORY, 0)
        if rejected is not None:
            self.send_outcome(handle, rejected)
            return
        arriving = self.arriving[handle] = ArrivingBody(call, length, memory)
        self.send([CREDIT, *handle, arriving.credit()])

    def on_body(self, handle: Handle, part: bytes) -> None:
        """Add a part of a body, and dispatch the call once it is complete."""
        arriving = self.arriving.get(handle)
        if arriving is None:
            return  # it was cancelled, or rejected
        if arriving.add(part):
            del self.arriving[handle]
            self.dispatch(handle, arriving.take_call())
        elif credit := arriving.credit():
            self.send([CREDIT, *handle, credit])

    def check_arriving(self, now: int) -> None:
        """Reject the calls whose body has not arrived by their deadline."""
        for handle, arriving in list(self.arriving.items()):
            if now > arriving.call.deadline:
                del self.arriving[handle]
                self.send_outcome(handle, Rejected(DEADLINE_PASSED, 0))

    def dispatch(self, handle: Handle, call: Call) -> None:
        """Dispatch a call of the peer that is complete."""
        self.running[handle] = call
        self.peers.dispatcher.dispatch_relocated(call)

    def report(self, handle: Handle, outcome: Outcome) -> None:
        """Send the outcome of a call to the peer."""
        self.running.pop(handle, None)
        if not isinstance(outcome, Served) or outcome.rest is None:
            self.send_outcome(handle, outcome)
        elif self.reads_parts:
            self.answers[handle] = RelayedAnswer(self, handle, outcome)
        else:
            collect_for_peer(self, handle, outcome)

    def send_outcome(self, handle: Handle, outcome: Outcome) -> None:
        """Send the whole outcome of a call to the peer."""
        self.send(encode_outcome(handle, outcome))

    def on_end(self, cause: object) -> None:
        """Cancel the calls of the link, as their outcomes can't be delivered any more."""
        self.peers.incoming.discard(self)
        if self.entry is not None:
            self.entry.end()
        self.arriving.clear()
        answers, self.answers = self.answers, {}
        for answer in answers.values():
            answer.stream.cancel()
        running, self.running = self.running, {}
        for call in running.values():
            self.peers.dispatcher.cancel(call)
