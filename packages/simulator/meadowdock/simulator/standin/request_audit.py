"""What callers asked and endpoints ran, compared with each other."""

from __future__ import annotations

from meadowdock.simulator.standin.messages import stamp_of

# statuses that promise that nothing ran
PROMISES = (408, 421, 429, 503)


class RequestAudit:
    """What callers asked and endpoints ran, compared with each other."""

    def __init__(self, dialect):
        self.dialect = dialect
        self.asked, self.endpoints, self.callers = [], [], []
        self.number = 0

    def new_id(self):
        self.number += 1
        return b"call-%d" % self.number

    def runs(self, id=None):
        found = [ran for e in self.endpoints for ran in e.journal]
        return found if id is None else [ran for ran in found if ran.id == id]

    def arrivals(self, id):
        return sum(1 for e in self.endpoints for _, known in e.came_at if known == id)

    def broken(self, repeatable=lambda asked: True):
        """Every breach of what the path promises, as text. repeatable(asked) tells its route's."""
        ids = {a.id: a for a in self.asked}
        found = [f"strays {c.strays}" for c in self.callers if c.strays]
        found += [f"{e.address} got {e.malformed}" for e in self.endpoints if e.malformed]
        for ran in self.runs():
            asked = ids.get(ran.id)
            if asked is None:
                found.append(f"nobody asked for {ran.id} {ran.target}")
                continue
            sent = (asked.method, asked.target, asked.host, asked.body)
            if sent != (ran.method, ran.target, ran.host, ran.body):
                found.append(f"changed: {sent} ran as {ran}")
            if ran.caller != (asked.service or "guest").encode():
                found.append(f"{ran.id} ran as a call of {ran.caller}, not {asked.service}")
        for asked in self.asked:
            runs = self.runs(asked.id)
            if not repeatable(asked) and len(runs) > 1:
                found.append(f"{asked.id} ran {len(runs)} times")
            if asked.status in PROMISES and runs:
                found.append(f"{asked.id} ran and was told {asked.status}")
            if asked.status // 100 == 2:
                found += self.unproved(asked, runs)
            elif asked.status and asked.line(self.dialect.call_id) not in (None, asked.id):
                found.append(f"{asked.id} got the answer of {asked.line(self.dialect.call_id)}")
        return found

    def unproved(self, asked, runs):
        if asked.line(self.dialect.call_id) != asked.id:
            return [f"{asked.id} got the answer of {asked.line(self.dialect.call_id)}"]
        for ran in runs:
            want = ran.answered if asked.method != b"HEAD" else b""
            proof = stamp_of(ran.instance, ran.id, ran.answered or b"")
            is_the_answer = asked.answer == want and asked.status == ran.status
            if is_the_answer and (
                not self.dialect.stamp or asked.line(self.dialect.stamp) == proof
            ):
                return []
        return [f"{asked.id}: {asked.status} {asked.answer[:60]} is no run's whole answer"]
