"""How members exchange the log: followers take it, the leader sends it."""

from coltsfootchute.agreement import members, memberships, records, replication
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["LogMember"]


class LogMember(members.Member):
    """A member with the replication of the log in both roles."""

    # Followers.

    def _on_append_request(self, message: pb.PeerMessage, now: float) -> None:
        """Store a leader's entries if they follow on the own log."""
        request = message.append_request
        self._follow(message.sender, now)
        previous = request.previous_index
        known = previous <= self.commit_index
        if not known and self.log.term_at(previous) != request.previous_term:
            hint = self.log.conflict_hint(previous, self.commit_index)
            reply = pb.AppendReply(hint_index=hint, round=request.round)
            self._send(message.sender, append_reply=reply)
            return
        new = self.log.merge(request.entries, self.commit_index)
        self._out.entries.extend(new)
        match = previous + len(request.entries)
        commit = min(request.commit_index, match)
        self.commit_index = max(self.commit_index, commit)
        self._note_proof(message, now)
        reply = pb.AppendReply(accepted=True, match_index=match, round=request.round)
        self._send(message.sender, append_reply=reply)

    def _note_proof(self, message: pb.PeerMessage, now: float) -> None:
        """Record that the replica is current, if the message proves it."""
        request = message.append_request
        delay = self._delay.of((message.term, message.sender), request.round, now)
        if now < self._trusted_from:
            return
        if request.has_lease and request.commit_index <= self.commit_index:
            self._proof_at = max(self._proof_at, now - delay)

    def _on_snapshot_chunk(self, message: pb.PeerMessage, now: float) -> None:
        """Collect a snapshot and install it, unless the log covers it."""
        chunk = message.snapshot_chunk
        self._follow(message.sender, now)
        index = chunk.meta.index
        reply = pb.SnapshotReply(index=index, round=chunk.round)
        reply.installed = index <= self.commit_index
        if not reply.installed and self.log.term_at(index) == chunk.meta.term:
            self.commit_index = index
            reply.installed = True
        if not reply.installed:
            snapshot = self._incoming.take(chunk)
            reply.installed = snapshot is not None
            reply.next_offset = self._incoming.next_offset
            if snapshot:
                self._install(snapshot)
        self._send(message.sender, snapshot_reply=reply)

    def _install(self, snapshot: records.Snapshot) -> None:
        """Replace log and state by a snapshot."""
        self.log.reset(snapshot)
        self.commit_index = self.applied_index = snapshot.meta.index
        self._applied_bytes = 0
        self._out.snapshot = snapshot

    def _on_elect_now(self, message: pb.PeerMessage, now: float) -> None:
        """Start an election on behalf of the leader."""
        own_id = self.identity.member_id
        if message.sender == self.leader_id and memberships.is_voter(
            self.membership, own_id
        ):
            self._start_election(now, transfer=True)

    # Leader.

    def _start_leading(self, now: float) -> None:
        """Become the leader of the present term."""
        self.role = records.Role.LEADER
        self.leader_id = self.identity.member_id
        self._ballot = None
        first = self.log.last_index + 1
        self._lead = replication.Leadership(
            self.identity.member_id, first, now, self.timing
        )
        self._lead.set_membership(self.membership, first, now)
        self._append([(pb.ENTRY_KIND_NOOP, b"")], now)

    def _append(self, items: list[tuple[int, bytes]], now: float) -> range:
        """Add entries of the own term and send them."""
        first = self.log.last_index + 1
        for kind, payload in items:
            entry = pb.LogEntry(
                index=self.log.last_index + 1,
                term=self.term,
                kind=kind,
                payload=payload,
            )
            self.log.append(entry)
            self._out.entries.append(entry)
            if kind == pb.ENTRY_KIND_MEMBERSHIP:
                self._lead.set_membership(self.membership, first, now)
        self._advance_commit(now)
        self._broadcast(now)
        return range(first, self.log.last_index + 1)

    def _broadcast(self, now: float, heartbeat: bool = False) -> None:
        """Send to all members; without `heartbeat`, not to those probed."""
        if heartbeat:
            self._lead.heartbeat_at = now + self.timing.heartbeat_s
        for member_id, progress in self._lead.progress.items():
            if heartbeat or not (progress.probing or progress.snapshot_index):
                self._send_log(member_id, progress, now, heartbeat)

    def _send_log(
        self,
        member_id: str,
        progress: replication.Progress,
        now: float,
        heartbeat: bool = False,
    ) -> None:
        """Send a member its next entries or chunk, or a heartbeat."""
        body = self._lead.body_for(
            progress, self.log, self.commit_index, now, heartbeat
        )
        if isinstance(body, pb.AppendRequest):
            self._send(member_id, append_request=body)
        else:
            self._send(member_id, snapshot_chunk=body)

    def _tick_leader(self, lead: replication.Leadership, now: float) -> None:
        """Step down without a quorum, else send heartbeats."""
        if now - lead.contact_at >= self.timing.election_min_s:
            self._follow_term(self.term, now)
            return
        transfer = lead.transfer
        if transfer and now - transfer.start >= self.timing.election_min_s:
            if transfer.asked:
                self._follow_term(self.term, now)
                return
            lead.transfer = None
        self._broadcast(now, heartbeat=True)

    def _on_append_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Count a member's acknowledgement."""
        reply, lead = message.append_reply, self._lead
        progress = lead and lead.note_reply(message.sender, reply.round, now)
        if progress is None:
            return
        send = lead.note_append_reply(progress, reply)
        self._advance_commit(now)
        self._go_on(message.sender, progress, send, now)

    def _on_snapshot_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Send the next chunk, or the entries after the snapshot."""
        reply, lead = message.snapshot_reply, self._lead
        progress = lead and lead.note_reply(message.sender, reply.round, now)
        if progress is None:
            return
        send = lead.note_snapshot_reply(progress, reply)
        self._advance_commit(now)
        self._go_on(message.sender, progress, send, now)

    def _go_on(
        self, member_id: str, progress: replication.Progress, send: bool, now: float
    ) -> None:
        """Send a member what it lacks, or the request to start an election."""
        lacks = progress.next_index <= self.log.last_index or progress.probing
        if send and lacks:
            self._send_log(member_id, progress, now)
        self._ask_for_election(now)

    def _advance_commit(self, now: float) -> None:
        """Commit what a quorum has stored, if it includes an own entry."""
        lead = self._lead
        match = lead.quorum_match(self.log.last_index)
        if match <= self.commit_index or match < lead.first_index:
            return
        self.commit_index = match
        notice_at = now + self.timing.commit_notice_s
        lead.heartbeat_at = min(lead.heartbeat_at, notice_at)

    def _leader_proof(self, now: float) -> float:
        """Return the last time at which this leader knew that it was current."""
        if self.commit_index < self._lead.first_index:
            return self._proof_at
        return max(self._proof_at, self._lead.proof_time(now))

    def _ask_for_election(self, now: float) -> None:
        """Ask the target of a transfer to start an election once it is up to date."""
        transfer = self._lead.transfer
        if transfer is None or transfer.asked:
            return
        progress = self._lead.progress.get(transfer.target)
        if progress and progress.match_index == self.log.last_index:
            transfer.asked = True
            self._send(transfer.target, elect_now=pb.ElectNow())
