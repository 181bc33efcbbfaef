"""Simulated operators and callers, and the record of their answers."""

import json
import uuid

from coltsfootchute import verdicts
from coltsfootchute.proto import coltsfootchute_pb2 as pb
from tests import checkers
from tests.scenario_language import clocks, targets

SERVICE = "shop"


class Users:
    """The operators and callers of a world: a base class of `worlds.World`."""

    async def ask(self, via, method, request):
        """Call a method of control through an entry; return the reply, or the error."""
        entry = self.entries[via] if via else self._usable_entry()
        if entry is None or entry.process.is_dead:
            return ConnectionRefusedError(via)
        reply = self.loop.create_future()
        entry.open_replies[reply] = None

        async def forward():
            result = await entry.ask(method, request)
            if not reply.done():
                reply.set_result(result)

        entry.process.spawn(forward())
        try:
            return await reply
        except ConnectionError as exc:
            return exc
        finally:
            entry.open_replies.pop(reply, None)

    # Operators.

    def document(self, text):
        """Return the document of a change, with the text as a comment in it."""
        section = {**self.section, "entries_per_caller": 2 + len(text) % 7}
        return json.dumps(section) + f" // {text}"

    async def propose(self, request_id, section, expected, author, *, via=None):
        """Submit a change, or resend it if the request id was used before."""
        operation = self.operations.get(request_id)
        if operation is None:
            operation = checkers.Operation("change", section, self.loop.now)
            operation.expected = expected
            operation.document = self.document(request_id)
            self.operations[request_id] = operation
            self.history.operations.append(operation)
        request = pb.Proposal(
            section=section,
            expected_revision=operation.expected,
            document=operation.document,
            team="team",
            author=author,
            request_id=request_id,
        )
        reply = await self.ask(via, "Propose", request)
        outcome = "unknown"
        if isinstance(reply, pb.ProposeReply):
            outcome = self._record_outcome(request_id, operation, reply.outcome)
        self.outcomes[request_id] = outcome
        return outcome

    def _record_outcome(self, request_id, operation, outcome):
        accepted = outcome.status == pb.PROPOSAL_STATUS_ACCEPTED
        result = outcome.revision if accepted else -1 - outcome.revision
        if operation.result is not None:
            self.history.resend_results.append((request_id, operation.result, result))
        else:
            operation.result, operation.returned = result, self.loop.now
            if accepted:
                change = (self.loop.now, operation.section, outcome.revision)
                self.history.accepted.append(change)
        name = pb.ProposalStatus.Name(outcome.status)
        return name.removeprefix("PROPOSAL_STATUS_").lower()

    async def read(self, section=SERVICE, via=None):
        """Read a section under the leader's lease; return its revision, or None."""
        operation = checkers.Operation("read", section, self.loop.now)
        request = pb.ReadSectionsRequest(name=section)
        reply = await self.ask(via, "ReadSections", request)
        if not isinstance(reply, pb.ReadSectionsReply):
            return None
        last = reply.sections[0].history[-1]
        operation.result = (last.revision, last.document)
        operation.returned = self.loop.now
        self.history.operations.append(operation)
        return last.revision

    # Callers.

    def key(self, name, age_s=0.0):
        """Return the idempotency key of this name, a UUIDv7 that is `age_s` old.

        The key is created on the first use of its name.
        """
        if name not in self.keys:
            time_ms = int((clocks.EPOCH_S + self.loop.now - age_s) * 1000)
            random_bytes = self.rng.randbytes(10)
            raw = bytearray(time_ms.to_bytes(6, "big") + random_bytes)
            raw[6], raw[8] = raw[6] & 0x0F | 0x70, raw[8] & 0x3F | 0x80
            self.keys[name] = str(uuid.UUID(bytes=bytes(raw)))
            self.history.at_most_once.add(self.keys[name])
        return self.keys[name]

    async def call(self, name, via, path, key=None):
        """Send one request and record the answer that its caller received."""
        method = "POST" if key else "GET"
        request = targets.Request(name, method, f"/{SERVICE}{path}", key)
        entry = self.entries[via]
        start = self.loop.now
        if not entry.process.is_dead:
            done = entry.requests[request] = self.loop.create_future()
            entry.process.spawn(entry.serve(request))
            try:
                await done
            except ConnectionError:
                request.is_cut = True
        headers = request.answer_headers
        replayed = verdicts.REPLAYED_HEADER in headers
        verdict = "" if replayed else headers.get(verdicts.VERDICT_HEADER, "")
        answer = checkers.Answer(
            name=name,
            request=key or name,
            verdict=verdict,
            reason=headers.get(verdicts.REASON_HEADER, ""),
            status=request.status,
            body=request.body.decode(),
            is_whole=request.is_whole and not request.is_cut,
            invoked=start,
            returned=self.loop.now,
            entry=via,
            is_replayed=replayed,
            is_cut_by_target=name in self.truncated_callers,
        )
        self.history.answers.append(answer)
        self.answers[name] = answer
        return answer
