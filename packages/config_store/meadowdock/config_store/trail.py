"""The audit trail on one member's disk: sealed segments, and a short tail of single records.

Records are grouped by version number, so a segment is the same at all members. A sealed segment is
one file, named by its index and its last record's hash; each record holds the hash of the one before,
so that hash stands for the whole chain up to there. Only names of segments and the tail are held in
memory. The oldest segments are dropped once a checkpoint tells where the kept chain begins.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import ormsgpack
import trio

from meadowdock import audit
from meadowdock.consensus import for_each
from meadowdock.runtime import fingerprint, sealed, unsealed

SEGMENT = 64  # records, about 40 KB: one segment is also the most that one message carries
SEGMENTS_KEPT = 256  # 16,384 versions, about 10 MB
RECORDS, SEGMENTS, CHECKPOINT = "audit", "trail", "trail-checkpoint"
DIGEST = 32  # hexadecimal digits of a segment's digest


def segment_of(version):
    """The index of the segment that a version belongs to.

    >>> segment_of(1), segment_of(SEGMENT), segment_of(SEGMENT + 1)
    (0, 0, 1)
    """
    return (version - 1) // SEGMENT


def versions_of(index):
    """The versions of a segment."""
    return range(index * SEGMENT + 1, (index + 1) * SEGMENT + 1)


def by_segment(versions):
    """Versions in batches of one segment each, in order.

    >>> by_segment([1, 64, 65])
    [[1, 64], [65]]
    """
    batches = {}
    for version in sorted(versions):
        batches.setdefault(segment_of(version), []).append(version)
    return list(batches.values())


@dataclass
class TrailState:
    """What one member holds: where its chain begins, its sealed segments' digests, and the versions
    of its tail. Sent as as_dict()."""

    first: int = 1
    former: str = ""  # hash of the record before the first; empty where the chain itself begins
    segments: dict = field(default_factory=dict)  # index -> digest
    tail: list = field(default_factory=list)

    def as_dict(self):
        """As sent on a link."""
        return {
            "first": self.first,
            "former": self.former,
            "segments": self.segments,
            "tail": self.tail,
        }

    def anchor(self):
        """What audit.verify has to know of the records before the first; None if there are none."""
        return {"version": self.first, "former": self.former} if self.first > 1 else None

    def digest(self):
        """Equal for two members that hold the same."""
        facts = [self.first, sorted(self.segments.items()), self.tail]
        return fingerprint(repr(facts).encode())

    def united(self, other):
        """All that either holds, from the later beginning on."""
        later = max(self, other, key=lambda state: state.first)
        return TrailState(
            later.first,
            later.former,
            self.segments | other.segments,
            sorted({*self.tail, *other.tail}),
        )


class AuditTrail:
    """Invariants: a segment is in `segments` only once its file is durable; the single files of its
    records are removed only after that. A record at or after `first` is never changed. The
    checkpoint is durable before the first segment that it leaves out is removed."""

    def __init__(self, files):
        self.files = files
        self.first, self.former = 1, ""
        self.segments = {}  # index -> digest
        self.tail = {}  # version -> record
        self.surplus = []  # versions that have both a single file and a sealed segment
        self.sealing = trio.Lock()

    # ------------------------------------------------------------ start

    async def load(self):
        """Reads the checkpoint and the single records; of segments only the names. All single files
        of the former layout (one for each version) are a long tail, which seal() shortens."""
        body = unsealed(await self.files.read(CHECKPOINT))
        if body is not None:
            self.first, self.former = ormsgpack.unpackb(body)
        for name in await self.files.names(SEGMENTS):
            index, _, digest = name.partition("-")
            self.segments[int(index)] = digest
        numbers = [int(name) for name in await self.files.names(RECORDS)]
        self.surplus = [v for v in numbers if v < self.first or segment_of(v) in self.segments]
        await for_each(self.load_record, [v for v in numbers if v not in set(self.surplus)])

    async def load_record(self, version):
        """Read the single file of a version; a damaged one counts as missing."""
        body = unsealed(await self.files.read(record_file(version)))
        if body is not None:  # a rotten one is missing, and pulled from another member
            self.tail[version] = body.decode()

    # ------------------------------------------------------------ what is held

    def holds(self, version):
        """Whether the record of a version is held here."""
        return version in self.tail or segment_of(version) in self.segments

    def state(self, since=0):
        """since: segments before this index are left out."""
        segments = {i: digest for i, digest in self.segments.items() if i >= since}
        return TrailState(self.first, self.former, segments, sorted(self.tail))

    def complete_before(self):
        """The first segment, from where the kept chain begins, that is not held here."""
        index = segment_of(self.first)
        while index in self.segments:
            index += 1
        return index

    def missing(self, end):
        """Versions from the first up to, without, end that are not held here."""
        return [version for version in range(self.first, end) if not self.holds(version)]

    def lacking(self, state):
        """Versions that are held by a member in this state and not here."""
        versions = [v for index in state.segments for v in versions_of(index)]
        first = max(self.first, state.first)
        return [v for v in (*versions, *state.tail) if v >= first and not self.holds(v)]

    async def read(self, versions):
        """{version: record} of those that are held."""
        found = {v: self.tail[v] for v in versions if v in self.tail}
        for batch in by_segment(v for v in versions if v not in self.tail and v >= self.first):
            records = await self.read_segment(segment_of(batch[0]))
            found.update((v, records[v]) for v in batch if v in records)
        return dict(sorted(found.items()))

    async def read_segment(self, index):
        """{version: record}; empty if it isn't held, or its file went bad: then it counts as missing
        from here on."""
        digest = self.segments.get(index)
        if digest is None:
            return {}
        body = unsealed(await self.files.read(segment_file(index, digest)))
        if body is not None:
            records = ormsgpack.unpackb(body, option=ormsgpack.OPT_NON_STR_KEYS)
            if records and digest_of(records) == digest:
                return records
        if self.segments.get(index) == digest:
            del self.segments[index]
        return {}

    # ------------------------------------------------------------ what comes in

    async def put(self, records):
        """{version: record}, each as a file of its own unless it is held."""
        for version, record in records.items():
            if version < self.first or self.holds(version):
                continue
            await self.files.write(record_file(version), sealed(record.encode()))
            if segment_of(version) in self.segments:  # sealed meanwhile
                self.surplus.append(version)
            else:
                self.tail[version] = record

    async def put_batch(self, records):
        """As put; a batch that makes its segment complete is written as that segment at once."""
        if not records:
            return
        index = segment_of(min(records))
        whole = {v: r for v, r in self.tail.items() if segment_of(v) == index} | records
        if self.can_seal(index, whole):
            async with self.sealing:
                await self.write_segment(index, whole)
                await self.remove_surplus()
        else:
            await self.put(records)

    async def begin_at(self, state):
        """Take over where a member's kept chain begins, if nothing before that is held here."""
        held = any(v < state.first for v in self.tail) or any(
            versions_of(index)[0] < state.first for index in self.segments
        )
        if state.first > self.first and not held:
            await self.write_checkpoint(state.first, state.former)

    # ------------------------------------------------------------ segments

    async def seal(self):
        """Segments that are complete in the tail become files; the oldest are dropped."""
        async with self.sealing:
            await self.note_beginning()
            await self.remove_surplus()
            for batch in by_segment(self.tail):
                index = segment_of(batch[0])
                records = {version: self.tail[version] for version in batch}
                if self.can_seal(index, records):
                    await self.write_segment(index, records)
                    await self.remove_surplus()
                else:
                    await self.drop_unchained(records)
            await self.drop_oldest()

    def can_seal(self, index, records):
        """All of the segment's versions from the first on, each following the one before."""
        wanted = [v for v in versions_of(index) if v >= self.first]
        return bool(wanted) and sorted(records) == wanted and not unchained(records)

    async def note_beginning(self):
        """A chain that began on a disk from before the trail: its first record names none before."""
        if not self.segments and self.tail and self.first == 1:
            first = min(self.tail)
            facts = audit.read_payload(self.tail[first])
            if first > 1 and facts and facts.get("former") == "":
                await self.write_checkpoint(first, "")

    async def write_segment(self, index, records):
        """Write one sealed segment; its records leave the tail."""
        digest = digest_of(records)
        body = ormsgpack.packb(records, option=ormsgpack.OPT_NON_STR_KEYS)
        await self.files.write(segment_file(index, digest), sealed(body))
        self.segments[index] = digest
        for version in records:
            if self.tail.pop(version, None) is not None:
                self.surplus.append(version)

    async def remove_surplus(self):
        """Single files of records whose segment can be read back, or that come before the first."""
        surplus, self.surplus = self.surplus, []
        for batch in by_segment(surplus):
            index = segment_of(batch[0])
            in_segment = batch[-1] >= self.first
            if in_segment and not await self.read_segment(index):
                await for_each(self.load_record, batch)  # the segment is bad: these count again
                continue
            for version in batch:
                await self.files.remove(record_file(version))

    async def drop_unchained(self, records):
        """Of two that don't fit the later counts: a rescued member may have left the chain that the
        others went on with."""
        for version in unchained(records):
            del self.tail[version]
            await self.files.remove(record_file(version))

    async def drop_oldest(self):
        """Drop segments beyond the bound, once the checkpoint is durable."""
        end = max(self.segments, default=-1) - SEGMENTS_KEPT + 1  # the first to be kept
        old = [index for index in self.segments if index < end]
        if not old:
            return
        records = await self.read_segment(end)
        if not records:
            return  # to be pulled before
        first = min(records)
        await self.write_checkpoint(first, audit.read_payload(records[first])["former"])
        for index in old:
            await self.files.remove(segment_file(index, self.segments.pop(index)))
        self.surplus += [v for v in self.tail if v < first]
        self.tail = {v: r for v, r in self.tail.items() if v >= first}
        await self.remove_surplus()

    async def write_checkpoint(self, first, former):
        """Store where the kept chain begins."""
        await self.files.write(CHECKPOINT, sealed(ormsgpack.packb([first, former])))
        self.first, self.former = first, former


def record_file(version):
    """The name of the single file of a version."""
    return f"{RECORDS}/{version:08d}"


def segment_file(index, digest):
    """The name of a segment's file."""
    return f"{SEGMENTS}/{index:08d}-{digest}"


def digest_of(records):
    """A segment's digest: the hash of its last record, shortened."""
    return audit.record_hash(records[max(records)])[:DIGEST]


def unchained(records):
    """Versions whose successor is there and does not follow them."""
    return [
        version
        for version, record in records.items()
        if version + 1 in records
        and (audit.read_payload(records[version + 1]) or {}).get("former")
        != audit.record_hash(record)
    ]
