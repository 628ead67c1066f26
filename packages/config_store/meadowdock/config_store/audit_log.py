"""The audit log on one member's disk: sealed segments, and a short tail of single records.

Records are grouped by version number, so a segment is the same at all members. A sealed segment is
one file, named by its index and the hash of its last record. Each record contains the hash of the
previous one, so that hash identifies the complete chain up to there. Only the names of segments,
and the tail, are kept in memory. The oldest segments are dropped once a checkpoint records where
the retained chain begins.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import ormsgpack
import trio

from meadowdock import audit
from meadowdock.consensus import run_for_each
from meadowdock.runtime import Disk, add_checksum, fingerprint, verify_checksum

RECORDS_PER_SEGMENT = 64  # about 40 KB; also the maximum that one message carries
MAX_SEGMENTS = 256  # 16,384 versions, about 10 MB
DIGEST_LENGTH = 32  # hexadecimal digits of a segment's digest

# Names on disk: the folder of single records, the folder of segments, the checkpoint's file.
RECORD_FOLDER = "audit"
SEGMENT_FOLDER = "trail"
CHECKPOINT_FILE = "trail-checkpoint"

Records = dict[int, str]  # {version: signed record}


def segment_of(version: int) -> int:
    """Return the index of the segment that a version belongs to.

    >>> segment_of(1), segment_of(RECORDS_PER_SEGMENT), segment_of(RECORDS_PER_SEGMENT + 1)
    (0, 0, 1)
    """
    return (version - 1) // RECORDS_PER_SEGMENT


def versions_of(index: int) -> range:
    """Return the versions of a segment."""
    return range(index * RECORDS_PER_SEGMENT + 1, (index + 1) * RECORDS_PER_SEGMENT + 1)


def by_segment(versions: Iterable[int]) -> list[list[int]]:
    """Group versions into batches of one segment each, in order.

    >>> by_segment([1, 64, 65])
    [[1, 64], [65]]
    """
    batches: dict[int, list[int]] = {}
    for version in sorted(versions):
        batches.setdefault(segment_of(version), []).append(version)
    return list(batches.values())


@dataclass
class AuditLogState:
    """Which records one member has, as digests of its sealed segments and versions of its tail."""

    first_version: int = 1  # of the retained chain
    previous_hash: str = ""  # of the record before the first; empty if the chain is complete
    segments: dict[int, str] = field(default_factory=dict)  # index -> digest
    tail: list[int] = field(default_factory=list)

    def to_wire(self) -> dict[str, Any]:
        """Encode as sent to another member."""
        return {
            "first": self.first_version,
            "former": self.previous_hash,
            "segments": self.segments,
            "tail": self.tail,
        }

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> AuditLogState:
        """Decode the state of another member.

        :raises KeyError: a field is missing.
        """
        return cls(fields["first"], fields["former"], fields["segments"], fields["tail"])

    def anchor(self) -> dict[str, Any] | None:
        """Return what `audit.verify` has to know of the dropped records before the first one.

        None if the chain is complete.
        """
        if self.first_version == 1:
            return None
        return {"version": self.first_version, "former": self.previous_hash}

    def digest(self) -> str:
        """Compute a digest that is equal for two members with the same records."""
        content = [self.first_version, sorted(self.segments.items()), self.tail]
        return fingerprint(repr(content).encode())

    def merged_with(self, other: AuditLogState) -> AuditLogState:
        """Return the state with the records of both members.

        It begins at the later of their two first versions.
        """
        later = max(self, other, key=lambda state: state.first_version)
        return AuditLogState(
            later.first_version,
            later.previous_hash,
            self.segments | other.segments,
            sorted({*self.tail, *other.tail}),
        )


class AuditLog:
    """The audit log of one member.

    Invariants: a segment is in `segments` only once its file is durable; the single files of its
    records are removed only after that. A record at or after `first_version` is never changed. The
    checkpoint is durable before the first segment that it leaves out is removed.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.first_version, self.previous_hash = 1, ""
        self.segments: dict[int, str] = {}  # index -> digest
        self.tail: Records = {}
        self.redundant_versions: list[int] = []  # with both a single file and a sealed segment
        self.seal_lock = trio.Lock()

    async def load(self) -> None:
        """Read the checkpoint and the single records; of segments only the names.

        A folder that an older release wrote has a single file for each version (the former layout).
        These records form a long tail, which seal() shortens.
        """
        body = verify_checksum(await self.disk.read(CHECKPOINT_FILE))
        if body is not None:
            self.first_version, self.previous_hash = ormsgpack.unpackb(body)
        for name in await self.disk.list_folder(SEGMENT_FOLDER):
            index, _, digest = name.partition("-")
            self.segments[int(index)] = digest
        numbers = [int(name) for name in await self.disk.list_folder(RECORD_FOLDER)]
        self.redundant_versions = [
            v for v in numbers if v < self.first_version or segment_of(v) in self.segments
        ]
        await run_for_each(
            self.load_record, [v for v in numbers if v not in set(self.redundant_versions)]
        )

    async def load_record(self, version: int) -> None:
        """Read the single file of a version into the tail; a damaged one counts as missing."""
        body = verify_checksum(await self.disk.read(record_file(version)))
        if body is not None:  # else it is pulled from another member
            self.tail[version] = body.decode()

    def holds(self, version: int) -> bool:
        """Whether the record of a version is on this disk."""
        return version in self.tail or segment_of(version) in self.segments

    def state(self, first_index: int = 0) -> AuditLogState:
        """Return which records are on this disk, without the segments before `first_index`."""
        segments = {i: digest for i, digest in self.segments.items() if i >= first_index}
        return AuditLogState(self.first_version, self.previous_hash, segments, sorted(self.tail))

    def first_missing_segment(self) -> int:
        """Return the index of the first segment of the retained chain that is missing here."""
        index = segment_of(self.first_version)
        while index in self.segments:
            index += 1
        return index

    def missing(self, end: int) -> list[int]:
        """Return the retained versions before `end` that are missing here."""
        return [version for version in range(self.first_version, end) if not self.holds(version)]

    def versions_to_pull(self, state: AuditLogState) -> list[int]:
        """Return the versions that are missing here and that a member in this state has."""
        versions = [v for index in state.segments for v in versions_of(index)]
        first = max(self.first_version, state.first_version)
        return [v for v in (*versions, *state.tail) if v >= first and not self.holds(v)]

    async def read(self, versions: Collection[int]) -> Records:
        """Return {version: record} of those versions that are on this disk."""
        found = {v: self.tail[v] for v in versions if v in self.tail}
        for batch in by_segment(
            v for v in versions if v not in self.tail and v >= self.first_version
        ):
            records = await self.read_segment(segment_of(batch[0]))
            found.update((v, records[v]) for v in batch if v in records)
        return dict(sorted(found.items()))

    async def read_segment(self, index: int) -> Records:
        """Return {version: record} of a segment; empty if it is missing.

        A segment whose file turns out to be damaged counts as missing from then on.
        """
        digest = self.segments.get(index)
        if digest is None:
            return {}
        body = verify_checksum(await self.disk.read(segment_file(index, digest)))
        if body is not None:
            records = ormsgpack.unpackb(body, option=ormsgpack.OPT_NON_STR_KEYS)
            if records and digest_of(records) == digest:
                return records
        if self.segments.get(index) == digest:
            del self.segments[index]
        return {}

    async def put(self, records: Records) -> None:
        """Store {version: record}, each as a single file, unless it is stored already."""
        for version, record in records.items():
            if version < self.first_version or self.holds(version):
                continue
            await self.disk.write(record_file(version), add_checksum(record.encode()))
            if segment_of(version) in self.segments:  # sealed meanwhile
                self.redundant_versions.append(version)
            else:
                self.tail[version] = record

    async def put_batch(self, records: Records) -> None:
        """Store {version: record} of one segment.

        Records that complete the segment are written as a sealed segment at once.
        """
        if not records:
            return
        index = segment_of(min(records))
        combined = {v: r for v, r in self.tail.items() if segment_of(v) == index} | records
        if self.can_seal(index, combined):
            async with self.seal_lock:
                await self.write_segment(index, combined)
                await self.remove_redundant_files()
        else:
            await self.put(records)

    async def adopt_first_version(self, state: AuditLogState) -> None:
        """Adopt the first version of another member's chain.

        Nothing changes if an earlier record is on this disk.
        """
        has_earlier = any(v < state.first_version for v in self.tail) or any(
            versions_of(index)[0] < state.first_version for index in self.segments
        )
        if state.first_version > self.first_version and not has_earlier:
            await self.write_checkpoint(state.first_version, state.previous_hash)

    async def seal(self) -> None:
        """Write segments that are complete in the tail as files, and drop the oldest segments."""
        async with self.seal_lock:
            await self.checkpoint_former_layout()
            await self.remove_redundant_files()
            for batch in by_segment(self.tail):
                index = segment_of(batch[0])
                records = {version: self.tail[version] for version in batch}
                if self.can_seal(index, records):
                    await self.write_segment(index, records)
                    await self.remove_redundant_files()
                else:
                    await self.drop_broken_links(records)
            await self.drop_oldest()

    def can_seal(self, index: int, records: Records) -> bool:
        """Whether these are all retained records of a segment, each chained to the previous one."""
        expected = [v for v in versions_of(index) if v >= self.first_version]
        return (
            bool(expected)
            and sorted(records) == expected
            and not versions_with_broken_link(records)
        )

    async def checkpoint_former_layout(self) -> None:
        """Write the checkpoint of a chain from the former layout that begins after version 1.

        The first record of such a chain contains no hash of a previous record.
        """
        if not self.segments and self.tail and self.first_version == 1:
            first = min(self.tail)
            payload = audit.read_payload(self.tail[first])
            if first > 1 and payload and payload.get("former") == "":
                await self.write_checkpoint(first, "")

    async def write_segment(self, index: int, records: Records) -> None:
        """Write one sealed segment, and remove its records from the tail."""
        digest = digest_of(records)
        body = ormsgpack.packb(records, option=ormsgpack.OPT_NON_STR_KEYS)
        await self.disk.write(segment_file(index, digest), add_checksum(body))
        self.segments[index] = digest
        for version in records:
            if self.tail.pop(version, None) is not None:
                self.redundant_versions.append(version)

    async def remove_redundant_files(self) -> None:
        """Remove single files that are not needed any more.

        These are files of records whose segment is readable, or that come before the first retained
        version.
        """
        redundant_versions, self.redundant_versions = self.redundant_versions, []
        for batch in by_segment(redundant_versions):
            index = segment_of(batch[0])
            in_segment = batch[-1] >= self.first_version
            if in_segment and not await self.read_segment(index):
                await run_for_each(self.load_record, batch)  # the segment is damaged: use the files
                continue
            for version in batch:
                await self.disk.remove(record_file(version))

    async def drop_broken_links(self, records: Records) -> None:
        """Drop records that their successors don't chain to.

        A rescued member may have records that diverge from the chain with which the other members
        continued.
        """
        for version in versions_with_broken_link(records):
            del self.tail[version]
            await self.disk.remove(record_file(version))

    async def drop_oldest(self) -> None:
        """Drop segments beyond MAX_SEGMENTS, once the checkpoint is durable."""
        end = max(self.segments, default=-1) - MAX_SEGMENTS + 1  # the first segment to keep
        dropped = [index for index in self.segments if index < end]
        if not dropped:
            return
        records = await self.read_segment(end)
        if not records:
            return  # it has to be pulled first
        first = min(records)
        await self.write_checkpoint(first, audit.read_payload(records[first])["former"])
        for index in dropped:
            await self.disk.remove(segment_file(index, self.segments.pop(index)))
        self.redundant_versions += [v for v in self.tail if v < first]
        self.tail = {v: r for v, r in self.tail.items() if v >= first}
        await self.remove_redundant_files()

    async def write_checkpoint(self, first_version: int, previous_hash: str) -> None:
        """Store where the retained chain begins."""
        checkpoint = ormsgpack.packb([first_version, previous_hash])
        await self.disk.write(CHECKPOINT_FILE, add_checksum(checkpoint))
        self.first_version, self.previous_hash = first_version, previous_hash


def record_file(version: int) -> str:
    """Return the name of the single file of a version."""
    return f"{RECORD_FOLDER}/{version:08d}"


def segment_file(index: int, digest: str) -> str:
    """Return the name of a segment's file."""
    return f"{SEGMENT_FOLDER}/{index:08d}-{digest}"


def digest_of(records: Records) -> str:
    """Return the digest of a segment: the shortened hash of its last record."""
    return audit.record_hash(records[max(records)])[:DIGEST_LENGTH]


def versions_with_broken_link(records: Records) -> list[int]:
    """Return the versions whose successor is present but contains the hash of another record."""
    return [
        version
        for version, record in records.items()
        if version + 1 in records
        and (audit.read_payload(records[version + 1]) or {}).get("former")
        != audit.record_hash(record)
    ]
