"""Audit logs for tests, and the costs of a member by the length of its audit log.

python tests/support/audit_log_facts.py    # prints the table "Length of history" of
docs/measurements.md: files, bytes read, records in memory, bytes sent
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
MISSED_RECORDS = 10


def plan_id(version):
    return fingerprint(f"plan {version}".encode())


def signed_record(version, previous_hash):
    """Return an audit record as mdconf writes it."""
    content = {
        "version": version,
        "plan": plan_id(version),
        "base": version - 1,
        "ranges": audit.record_hash(str(version)),
        "at": str(1_700_000_000_000_000 + version),
        "former": previous_hash,
    }
    return audit.sign(SIGNING_KEY, content)


def audit_chain(length, first=1, previous_hash=""):
    """Return {version: record} of consecutive records."""
    records = {}
    for version in range(first, first + length):
        records[version] = signed_record(version, previous_hash)
        previous_hash = audit.record_hash(records[version])
    return records


class CountingDisk(MemoryDisk):
    """A disk that counts the files read and their bytes."""

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
    """Write one file per record, as the previous version of the software did."""
    for version, text in records.items():
        disk.files[record_file(version)] = add_checksum(text.encode())


async def open_store(disk):
    """Return the loaded store of a disk."""
    store = Store(disk, random.Random(1), lambda *_, **__: None)
    await store.load()
    return store


async def pull_records(source, target):
    """Let an audit log fetch the missing segments of another.

    Return the number of messages, their bytes in all, and the bytes of the largest.
    """
    sizes = []
    state = AuditLogState.from_wire(source.state(target.first_missing_segment()).to_wire())
    sizes.append(len(ormsgpack.packb(state.to_wire(), option=ormsgpack.OPT_NON_STR_KEYS)))
    await target.adopt_first_version(state)
    for versions in by_segment(target.versions_to_pull(state)):
        records = await source.read(versions)
        sizes.append(len(ormsgpack.packb(records, option=ormsgpack.OPT_NON_STR_KEYS)))
        await target.put_batch(records)
    return len(sizes), sum(sizes), max(sizes)


def head_bytes(pairs, version, text):
    """Return the size of a head over one key range, as each ballot carries it."""
    history = [[v, plan_id(v)] for v in range(max(1, version - pairs + 1), version + 1)]
    head = {
        "version": version,
        "ranges": [plan_id(0)],
        "items": 0,
        "plan": plan_id(version),
        "history": history,
        "record": text,
    }
    return len(ormsgpack.packb(head))


async def measure(length):
    """Return the costs in the previous layout and in the current one, by name."""
    from meadowdock.config_store.revision import HISTORY_LENGTH

    records = audit_chain(length)
    disk = CountingDisk()
    write_former_layout(disk, records)
    total_bytes = sum(len(text) for text in records.values())
    before = {
        "files on disk": len(disk.files),
        "files read": len(disk.files),
        "bytes read": sum(len(data) for data in disk.files.values()),
        "records in memory": length,
        "bytes to a blank member": total_bytes,
        "largest message": total_bytes,
        "bytes after 10 missed": sum(len(records[v]) for v in range(length - 9, length + 1)),
        "head in a ballot": head_bytes(256, length, records[length]),
    }
    store = await open_store(disk)
    await store.audit_log.seal()  # migrates the previous layout
    names = [name for name in disk.files if name.startswith((RECORD_FOLDER, "trail"))]
    disk.reads = disk.read_bytes = 0
    reopened = await open_store(disk)
    reads, read_bytes = disk.reads, disk.read_bytes
    _, blank_bytes, largest = await pull_records(
        reopened.audit_log, (await open_store(MemoryDisk())).audit_log
    )
    lagging_disk = MemoryDisk()
    older_records = {
        version: record for version, record in records.items() if version <= length - MISSED_RECORDS
    }
    write_former_layout(lagging_disk, older_records)
    lagging = await open_store(lagging_disk)
    await lagging.audit_log.seal()
    _, missed_bytes, _ = await pull_records(reopened.audit_log, lagging.audit_log)
    after = {
        "files on disk": len(names),
        "files read": reads,
        "bytes read": read_bytes,
        "records in memory": len(reopened.audit_log.tail),
        "bytes to a blank member": blank_bytes,
        "largest message": largest,
        "bytes after 10 missed": missed_bytes,
        "head in a ballot": head_bytes(HISTORY_LENGTH, length, records[length]),
    }
    return before, after


def main():
    """Print the table, and the duration of each measurement on standard error."""

    async def scenario(_):
        for length in LENGTHS:
            started = time.monotonic()
            before, after = await measure(length)
            for name in before:
                print(f"| {name} | {length:,} | {before[name]:,} | {after[name]:,} |")
            print(f"({time.monotonic() - started:.1f} s)", file=sys.stderr)

    trio.run(scenario, None)


if __name__ == "__main__":
    main()
