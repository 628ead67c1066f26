"""Audit trails for tests, and counts of what a member reads, holds and sends at a length of history.

python tests/audit_log_facts.py    # prints the table of docs/measurements.md, "Length of history"
"""

from __future__ import annotations

import random
import sys
import time

import ormsgpack
import trio

from meadowdock import audit
from meadowdock.config_store.audit_log import RECORD_FOLDER, AuditLogState, by_segment, record_file
from meadowdock.config_store.store import Store
from meadowdock.runtime import MemoryDisk, add_checksum, fingerprint

SIGNING_KEY = audit.signing_key(b"k" * 32)
LENGTHS = (300, 3_000, 30_000)
MISSED = 10


def plan_id(version):
    return fingerprint(f"plan {version}".encode())


def signed_record(version, former):
    """As mdconf writes it."""
    facts = {
        "version": version,
        "plan": plan_id(version),
        "base": version - 1,
        "ranges": audit.record_hash(str(version)),
        "at": str(1_700_000_000_000_000 + version),
        "former": former,
    }
    return audit.sign(SIGNING_KEY, facts)


def audit_chain(length, first=1, former=""):
    """{version: record}"""
    records = {}
    for version in range(first, first + length):
        records[version] = signed_record(version, former)
        former = audit.record_hash(records[version])
    return records


class CountingDisk(MemoryDisk):
    """Counts files read, their bytes, and listings of folders."""

    def __init__(self):
        super().__init__()
        self.reads = self.read_bytes = 0

    async def read(self, name):
        data = await super().read(name)
        if data is not None:
            self.reads += 1
            self.read_bytes += len(data)
        return data


def write_former_layout(disk, records):
    """One file for each change, as the former version kept them."""
    for version, text in records.items():
        disk.files[record_file(version)] = add_checksum(text.encode())


async def open_store(disk):
    store = Store(disk, random.Random(1), lambda *_, **__: None)
    await store.load()
    return store


async def pull_records(source, target):
    """Let an audit log catch up with another by pieces, as over links; (messages, bytes, largest)."""
    sizes = []
    state = AuditLogState.from_wire(source.state(target.first_missing_segment()).to_wire())
    sizes.append(len(ormsgpack.packb(state.to_wire(), option=ormsgpack.OPT_NON_STR_KEYS)))
    await target.adopt_beginning(state)
    for versions in by_segment(target.versions_to_pull(state)):
        records = await source.read(versions)
        sizes.append(len(ormsgpack.packb(records, option=ormsgpack.OPT_NON_STR_KEYS)))
        await target.put_batch(records)
    return len(sizes), sum(sizes), max(sizes)


def head_bytes(pairs, version, text):
    """Of a head over one range, as it stands in each ballot."""
    history = [[v, plan_id(v)] for v in range(max(1, version - pairs + 1), version + 1)]
    facts = {
        "version": version,
        "ranges": [plan_id(0)],
        "items": 0,
        "plan": plan_id(version),
        "history": history,
        "record": text,
    }
    return len(ormsgpack.packb(facts))


async def measure(length):
    from meadowdock.config_store.revision import HISTORY_LENGTH

    records = audit_chain(length)
    disk = CountingDisk()
    write_former_layout(disk, records)
    wire = sum(len(text) for text in records.values())
    before = {
        "files on disk": len(disk.files),
        "files read": len(disk.files),
        "bytes read": sum(len(data) for data in disk.files.values()),
        "records in memory": length,
        "bytes to a blank member": wire,
        "largest message": wire,
        "bytes after 10 missed": sum(len(records[v]) for v in range(length - 9, length + 1)),
        "head in a ballot": head_bytes(256, length, records[length]),
    }
    store = await open_store(disk)
    await store.audit_log.seal()  # the former layout is migrated
    names = [name for name in disk.files if name.startswith((RECORD_FOLDER, "trail"))]
    disk.reads = disk.read_bytes = 0
    again = await open_store(disk)
    reads, read_bytes = disk.reads, disk.read_bytes
    _, blank_bytes, largest = await pull_records(
        again.audit_log, (await open_store(MemoryDisk())).audit_log
    )
    late = MemoryDisk()
    write_former_layout(late, {v: r for v, r in records.items() if v <= length - MISSED})
    lagging = await open_store(late)
    await lagging.audit_log.seal()
    _, missed_bytes, _ = await pull_records(again.audit_log, lagging.audit_log)
    after = {
        "files on disk": len(names),
        "files read": reads,
        "bytes read": read_bytes,
        "records in memory": len(again.audit_log.tail),
        "bytes to a blank member": blank_bytes,
        "largest message": largest,
        "bytes after 10 missed": missed_bytes,
        "head in a ballot": head_bytes(HISTORY_LENGTH, length, records[length]),
    }
    return before, after


def main():
    async def scenario(_):
        for length in LENGTHS:
            begun = time.monotonic()
            before, after = await measure(length)
            for name in before:
                print(f"| {name} | {length:,} | {before[name]:,} | {after[name]:,} |")
            print(f"({time.monotonic() - begun:.1f} s)", file=sys.stderr)

    trio.run(scenario, None)


if __name__ == "__main__":
    main()
