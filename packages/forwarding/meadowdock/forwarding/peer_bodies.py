"""Large bodies of calls on a link between gateways, which are sent in parts.

The opener sends the head of the call with the length of its body. The answerer reserves the room and
grants credit as the body arrives, or rejects the call at its head. Parts are sent from the one body, in turns with those of
other calls, so that no frame waits behind more than LINK_QUEUE_BYTES. The call is dispatched once its
body is complete; until then it has not run.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from meadowdock.forwarding.exceptions import PeerProtocolError
from meadowdock.forwarding.peer_frames import BODY, Frame
from meadowdock.runtime.held_body import HeldBody

if TYPE_CHECKING:
    from meadowdock.forwarding.call import Call
    from meadowdock.runtime.client_memory import ClientMemory
    from meadowdock.runtime.slab import Handle

WHOLE_CALL_BODY_BYTES = 64 << 10  # a call with a longer body is sent in parts
PART_BYTES = 64 << 10
BODY_CREDIT_BYTES = 1 << 20  # of one body, granted and not received yet
LINK_QUEUE_BYTES = 128 << 10  # of parts that are handed to a link and not taken by the kernel


class SentBody:
    """The body of a call that is being sent to a peer.

    Invariant: no more than `credit` bytes of it are sent.
    """

    def __init__(self, handle: Handle, call: Call) -> None:
        self.handle, self.call = handle, call
        self.view = memoryview(call.body)
        self.sent = self.credit = 0

    @property
    def is_complete(self) -> bool:
        """Whether all of it is sent."""
        return self.sent == len(self.view)

    def next_part(self) -> Frame | None:
        """Return the frame of the next part, or None without credit for one."""
        end = min(self.sent + PART_BYTES, self.credit, len(self.view))
        if end <= self.sent:
            return None
        part = self.view[self.sent : end]
        self.sent = end
        return [BODY, *self.handle, part]


class SentBodies:
    """The bodies that are being sent on one link, in turns."""

    def __init__(self) -> None:
        self.by_handle: dict[Handle, SentBody] = {}

    def __bool__(self) -> bool:
        return bool(self.by_handle)

    def __contains__(self, handle: Handle | None) -> bool:
        return handle in self.by_handle

    def add(self, handle: Handle, call: Call) -> None:
        """Add the body of a call whose head is sent."""
        self.by_handle[handle] = SentBody(handle, call)

    def discard(self, handle: Handle) -> None:
        """Send no more of a body."""
        self.by_handle.pop(handle, None)

    def take_all(self) -> list[Call]:
        """Remove all bodies, and return their calls."""
        bodies, self.by_handle = self.by_handle, {}
        return [body.call for body in bodies.values()]

    def on_credit(self, handle: Handle, size: int) -> bool:
        """Note that more of a body may be sent; return whether there is such a body."""
        body = self.by_handle.get(handle)
        if body is None:
            return False
        body.credit += size
        return True

    def have_credit(self) -> bool:
        """Return whether more may be sent of any body."""
        return any(body.credit > body.sent for body in self.by_handle.values())

    def next_parts(self, size: int) -> Iterator[Frame]:
        """Yield the frames of the next parts, of some size in all; a body that was sent is removed."""
        left = size
        while left > 0:
            left_before = left
            for body in list(self.by_handle.values()):
                frame = body.next_part()
                if frame is None:
                    continue
                left -= len(frame[-1])
                if body.is_complete:
                    self.discard(body.handle)
                yield frame
                if left <= 0:
                    # the next turn begins with another body
                    self.move_to_end(body)
                    return
            if left == left_before:
                return

    def move_to_end(self, body: SentBody) -> None:
        """Let the other bodies be sent first."""
        if self.by_handle.pop(body.handle, None) is not None:
            self.by_handle[body.handle] = body


class ArrivingBody:
    """The body of a peer's call that is being received; its room is reserved.

    Invariant: granted is the part of the body for which there was credit.

    :ivar length: bytes of the whole body.
    """

    def __init__(self, call: Call, length: int, memory: ClientMemory) -> None:
        self.call, self.length = call, length
        self.granted = 0
        self.body = HeldBody()
        self.body.hold(memory, length)

    def add(self, part: bytes) -> bool:
        """Add a part, and return whether the body is complete.

        :raises PeerProtocolError: the body is longer than the head of its call said.
        """
        self.body += part
        if len(self.body) > self.length:
            raise PeerProtocolError(f"body longer than {self.length} bytes")
        return len(self.body) == self.length

    def credit(self) -> int:
        """Return how much more of the body the peer may send now."""
        outstanding = self.granted - len(self.body)
        if outstanding > BODY_CREDIT_BYTES // 2:
            return 0
        size = min(BODY_CREDIT_BYTES - outstanding, self.length - self.granted)
        self.granted += size
        return size

    def take_call(self) -> Call:
        """Return the call with its body, which is complete."""
        self.call.body = self.body
        return self.call
