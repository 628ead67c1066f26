"""Calls to neighbours: one link to each, frames sealed and sent once a turn.

What a broken link says is exact in one direction: a call is `unsent` only if no byte of its frame was
handed to the socket.
"""

from __future__ import annotations

import hmac

import ormsgpack

from meadowdock.forwarding.call import Call, Refused, Served, Unknown
from meadowdock.rpc.frame import (
    LENGTH_SIZE,
    MAX_FRAME_SIZE,
    TAG_SIZE,
    FrameAuthenticator,
    derive_key,
)
from meadowdock.rpc.queueing_delay import QueueingDelayEstimator
from meadowdock.runtime import MILLISECOND, SECOND, PauseDetector, monotonic_us
from meadowdock.runtime.slab import Slab

MAGIC = "mdg1"
BLANK = b"\x00" * 32
HELLO, PROVED, CALL, SERVED, REFUSED, UNKNOWN, CANCEL, PING, PONG, TAKES_AIM = range(10)
OPEN_WAIT = 400 * MILLISECOND
GREETING_WAIT = 2 * OPEN_WAIT  # an opener gives up by then
PING_EVERY = 200 * MILLISECOND
SILENT = 600 * MILLISECOND  # with calls pending and nothing heard for so long, a link is given up
QUIET = 500 * MILLISECOND  # an address that took no link is left alone so long
CLOGGED = 4 << 20
CARRIED = MAX_FRAME_SIZE - 65_536  # bytes of a call or answer that a frame takes
STILL = 300 * MILLISECOND  # between two looks: this process itself stood still
MARGIN = 15 * MILLISECOND  # a neighbour ends a call this much before the home's due


class Frames:
    """Whole frames of a byte stream. Invariant: held holds at most one partial frame between calls."""

    def __init__(self, proof):
        self.proof, self.held = proof, b""

    def feed(self, data):
        """The proved bodies in data, each opened once those before it are dealt with: they may
        change the proof. ValueError when a frame fails it."""
        held = self.held + data if self.held else data
        at, size = 0, len(held)
        while size - at >= LENGTH_SIZE:
            length = int.from_bytes(held[at : at + LENGTH_SIZE], "big")
            if length > MAX_FRAME_SIZE:
                raise ValueError("frame too long")
            end = at + LENGTH_SIZE + TAG_SIZE + length
            if end > size:
                break
            body = self.proof.open(held[at + LENGTH_SIZE : end])
            if body is None:
                raise ValueError("frame fails its proof")
            at = end
            yield ormsgpack.unpackb(body)
        self.held = held[at:] if at else held


class Link:
    """One side of a link between gates. Invariants: out holds frames that no byte of was handed to
    the socket; ready is True once both sides proved the key; a link is in reactor.dirty iff marked."""

    opener = True

    def __init__(self, peers):
        self.peers = peers
        self.wire = None
        self.out, self.marked, self.ready = [], False, False
        self.sealing = None
        self.heard = monotonic_us()
        self.mine = peers.rng.randbytes(16)

    def greet_proofs(self, opener):
        ways = (b"greeting-out", b"greeting-in")
        out, into = ways if opener else ways[::-1]
        self.sealing, self.frames = (
            FrameAuthenticator(BLANK, out),
            Frames(FrameAuthenticator(BLANK, into)),
        )

    def say(self, frame):
        self.out.append(ormsgpack.packb(frame))
        if self.ready:
            self.mark()

    def mark(self):
        if not self.marked:
            self.marked = True
            self.peers.reactor.dirty.append(self)

    def now_say(self, frame):
        self.wire.send(self.sealing.seal(ormsgpack.packb(frame)))

    def flush(self):
        self.marked = False
        if self.out and self.ready and not self.wire.closed:
            out, self.out = self.out, []
            self.wire.send(b"".join([self.sealing.seal(body) for body in out]))

    def on_data(self, data):
        self.heard = monotonic_us()
        try:
            for frame in self.frames.feed(data):
                if self.ready:
                    self.on_frame(frame)
                else:
                    self.on_greeting(frame)
        except (ValueError, TypeError, IndexError) as cause:
            self.peers.log(201, cause=repr(cause))
            self.wire.close()
            self.on_end(cause)

    def prove(self, session, facts):
        """From here on frames are sealed under the session's key; the frames object is kept, since
        it may be walking."""
        key = derive_key(self.peers.key, b"session", *facts)
        out, into = (b"out", b"in") if self.opener else (b"in", b"out")
        self.sealing, self.frames.proof = (
            FrameAuthenticator(key, out),
            FrameAuthenticator(key, into),
        )
        self.ready = True


class Outgoing(Link):
    """To a neighbour. Invariants: pending holds the calls that were sent or wait in `unsent`; no
    frame of a call exists while it is in `unsent`, so one that is given up there never leaves;
    over is set once, and then pending is empty."""

    def __init__(self, peers, address):
        super().__init__(peers)
        self.address = address
        self.pending = Slab()
        self.unsent = {}  # handle -> (call, may it wait there): sent once the link is ready
        self.takes_aim = False  # the peer's version reads a call's aim and kind behind its body
        self.over = False
        self.pinged = 0
        peers.wires.dial(address, monotonic_us() + OPEN_WAIT, self)
        peers.reactor.at(monotonic_us() + GREETING_WAIT, self.not_open)

    def not_open(self):
        if not self.ready and not self.over:
            if self.wire is not None:
                self.wire.close()
            self.on_end("no greeting in time")

    def on_open(self, wire):
        if self.over:
            wire.close()
            return
        self.wire = wire
        self.greet_proofs(True)
        self.now_say([HELLO, MAGIC, self.mine, self.peers.name])

    def on_greeting(self, frame):
        _, theirs, name, proof = frame
        facts = (self.mine, theirs, self.peers.name.encode(), name.encode())
        if not hmac.compare_digest(proof, derive_key(self.peers.key, b"answerer", *facts)):
            raise ValueError("the peer doesn't know the fleet key")
        self.now_say([PROVED, derive_key(self.peers.key, b"opener", *facts), monotonic_us()])
        self.prove(None, facts)
        self.peers.quiet_until.pop(self.address, None)
        unsent, self.unsent = self.unsent, {}
        for handle, (call, waits) in unsent.items():
            self.send_call(handle, call, waits)

    def run(self, call, waits):
        """Send the call, once the link is ready. waits: it may stand in the neighbour's line."""
        handle = self.pending.put(call)
        call.number = handle
        if self.ready:
            self.send_call(handle, call, waits)
        else:
            self.unsent[handle] = call, waits

    def send_call(self, handle, call, waits):
        """What is left of its times is told as of now, when its frame is made."""
        at = monotonic_us()
        self.say(
            [
                CALL,
                handle[0],
                handle[1],
                max(0, call.due - at - MARGIN),
                at,
                call.service,
                call.instance,
                call.repeatable,
                call.rank,
                max(0, call.join_due - at) if waits else 0,
                max(0, call.wait_due - at),
                call.bare,
                call.id,
                call.head,
                call.body,
                *([call.aim_due - at, call.kind] if self.takes_aim else []),
            ]
        )
        self.peers.gate.left(call)

    def take(self, slot, generation):
        return self.pending.take((slot, generation))

    def on_frame(self, frame):
        kind = frame[0]
        if kind == SERVED:
            call = self.take(frame[1], frame[2])
            if call is not None:
                self.peers.gate.neighbour_answered(call, Served(frame[4], frame[5], frame[3]))
        elif kind == REFUSED:
            call = self.take(frame[1], frame[2])
            if call is not None:
                self.peers.gate.neighbour_refused(call, self.address, frame[3], frame[4])
        elif kind == UNKNOWN:
            call = self.take(frame[1], frame[2])
            if call is not None:
                self.peers.gate.may_have_run(call, frame[3])
        elif kind == TAKES_AIM:
            self.takes_aim = True

    def give_up(self, call):
        """The call needs no answer any more; one that has not left stays here."""
        if self.pending.take(call.number) is not None:
            self.unsent.pop(call.number, None)
            if self.ready:
                self.say([CANCEL, *call.number])

    def cancel(self, call):
        """The call need not begin any more. True if it never left; else what became of it is told."""
        if call.number in self.unsent:
            self.give_up(call)
            return True
        self.say([CANCEL, *call.number])
        return False

    def on_fail(self, cause):
        self.on_end(cause)

    def on_end(self, cause):
        if self.over:
            return
        self.over = True
        self.peers.ended(self, cause)
        unsent, self.unsent = self.unsent, {}
        for handle in list(unsent):
            self.pending.take(handle)
        lost = list(self.pending)
        self.pending = Slab()
        for call, _ in unsent.values():
            self.peers.gate.neighbour_unreached(call, self.address)
        for call in lost:
            call.tried.add(self.peers.gate.node_of(self.address))
            self.peers.gate.may_have_run(call, "lost")

    def look(self, at):
        """Is the other side there? Asked only while something is pending."""
        if not self.ready or not len(self.pending):
            self.heard = max(self.heard, at - PING_EVERY)
            return
        if at - self.heard > SILENT:
            self.wire.close()
            self.on_end("silent")
        elif at - self.heard > PING_EVERY:
            self.say([PING])


class Incoming(Link):
    """From a neighbour. Invariant: running maps a call's handle to the call that works for it."""

    opener = False

    def __init__(self, peers, wire):
        super().__init__(peers)
        self.wire, wire.owner = wire, self
        self.running = {}
        self.lag = QueueingDelayEstimator()
        self.facts = None
        self.greeted_at = 0  # when our part of the greeting was sent
        self.greet_proofs(False)

    def on_greeting(self, frame):
        if self.facts is None:
            _, magic, theirs, name = frame
            if magic != MAGIC:
                raise ValueError("not a link of ours")
            me = self.peers.name
            self.facts = (theirs, self.mine, name.encode(), me.encode())
            proof = derive_key(self.peers.key, b"answerer", *self.facts)
            self.greeted_at = monotonic_us()
            self.now_say([PROVED, self.mine, me, proof])
            return
        if not hmac.compare_digest(frame[1], derive_key(self.peers.key, b"opener", *self.facts)):
            raise ValueError("the opener doesn't know the fleet key")
        at = monotonic_us()
        if at - self.greeted_at > GREETING_WAIT:
            raise ValueError("the greeting took too long")  # and calls behind it as long
        if len(frame) > 2:  # else of the former version, which told no time here
            self.lag.measure(frame[2], at)  # so that the first call's delay is seen, too
        self.prove(None, self.facts)
        self.say([TAKES_AIM])  # a former version passes over frames that it does not know

    def on_frame(self, frame):
        kind = frame[0]
        if kind == CALL:
            _, slot, generation, left, sent_at, service, instance, repeatable, rank = frame[:9]
            join_us, wait_us, bare, id, head, body = frame[9:15]
            at = monotonic_us()
            lag = self.lag.measure(sent_at, at)
            left -= lag
            handle = (slot, generation)
            call = Call(
                id=id,
                head=head,
                body=body,
                service=service,
                repeatable=repeatable,
                due=at + left,
                arrived_at=at,
                aim_due=at + (frame[15] - lag if len(frame) > 15 else left),
                kind=frame[16] if len(frame) > 16 else f"rank {rank}",
                early_due=at,
                join_due=at + join_us,
                wait_due=at + min(left, wait_us),
                rank=rank,
                bare=bare,
                home=False,
                instance=instance,
                end=lambda outcome: self.answer(handle, outcome),
            )
            self.running[handle] = call
            self.peers.gate.taken(call)
        elif kind == PING:
            self.say([PONG])
        elif kind == CANCEL:
            call = self.running.get((frame[1], frame[2]))
            if call is not None:
                self.peers.gate.cancelled(call)

    def answer(self, handle, outcome):
        self.running.pop(handle, None)
        if isinstance(outcome, Served) and len(outcome.head) + len(outcome.body) > CARRIED:
            outcome = Unknown("too_large")
        if isinstance(outcome, Served):
            self.say([SERVED, *handle, outcome.status, outcome.head, outcome.body])
        elif isinstance(outcome, Refused):
            self.say([REFUSED, *handle, outcome.code, outcome.retry_us])
        elif isinstance(outcome, Unknown):
            self.say([UNKNOWN, *handle, outcome.code])

    def on_end(self, cause):
        # nobody hears these answers: who has not begun need not
        self.peers.incoming.discard(self)
        for call in list(self.running.values()):
            self.peers.gate.cancelled(call)


class Peers:
    """Links to and from the neighbours' gates. Invariants: one outgoing link an address at most; an
    address is in quiet_until from the end of a link to it until another one is proved, and no
    call goes there meanwhile: links are tried by themselves, not by calls that wait for them."""

    def __init__(self, gate, key, name, rng, log):
        self.gate, self.wires, self.reactor = gate, gate.wires, gate.reactor
        self.key, self.name, self.rng, self.log = derive_key(key, b"gate"), name, rng, log
        self.outgoing = {}
        self.incoming = set()
        self.quiet_until = {}
        self.still = PauseDetector(STILL, monotonic_us())

    def accept(self, wire):
        self.incoming.add(Incoming(self, wire))

    def link(self, address):
        """The link to a neighbour, or None if it can't take a call now."""
        link = self.outgoing.get(address)
        if address in self.quiet_until:
            return None
        if link is None:
            link = self.outgoing[address] = Outgoing(self, address)
        if link.wire is not None and link.wire.held_size > CLOGGED:
            return None
        return link

    def ended(self, link, cause):
        if self.outgoing.get(link.address) is link:
            del self.outgoing[link.address]
        self.quiet_until[link.address] = monotonic_us() + QUIET
        self.log(202, peer=link.address, cause=str(cause))

    def look(self, at):
        stood = self.still.look(at)  # what neighbours said meanwhile lies unread
        for link in list(self.outgoing.values()):
            link.heard += stood
            link.look(at)
        for address, until in list(self.quiet_until.items()):
            if at > until and address not in self.outgoing:
                if self.gate.knows(address):
                    self.outgoing[address] = Outgoing(self, address)
                else:
                    del self.quiet_until[address]


__all__ = ["Peers", "SECOND"]
