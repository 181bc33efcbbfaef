"""Log replication: the leader sends entries and snapshots, followers store them."""

from coltsfootchute.agreement import members, memberships, records, replication
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["LogMember"]


class LogMember(members.Member):
    """A member that replicates the log, both as a follower and as the leader."""

    # Followers.

    def _on_append_request(self, message: pb.PeerMessage, now: float) -> None:
        """Store a leader's entries if the log holds the entry before them."""
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
        """Record when the replica was current, if the message proves it.

        A message proves it if its sender held the lease and all entries that the
        sender had committed are committed here.
        """
        request = message.append_request
        delay = self._delay.of((message.term, message.sender), request.round, now)
        if now < self._trusted_from:
            return
        if request.has_lease and request.commit_index <= self.commit_index:
            self._proof_at = max(self._proof_at, now - delay)

    def _on_snapshot_chunk(self, message: pb.PeerMessage, now: float) -> None:
        """Add a chunk of a snapshot; install the snapshot once it is complete.

        A snapshot whose last entry is in the log isn't installed.
        """
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
        """Replace the log and the state by a snapshot."""
        self.log.reset(snapshot)
        self.commit_index = self.applied_index = snapshot.meta.index
        self._applied_bytes = 0
        self._out.snapshot = snapshot

    def _on_elect_now(self, message: pb.PeerMessage, now: float) -> None:
        """Start an election, because the leader transfers its leadership."""
        own_id = self.identity.member_id
        if message.sender == self.leader_id and memberships.is_voter(
            self.membership, own_id
        ):
            self._start_election(now, transfer=True)

    # Leader.

    def _start_leading(self, now: float) -> None:
        """Become the leader of the current term."""
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
        """Append entries in the current term and send them to the members."""
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
        """Send entries or a heartbeat to all members.

        Without `heartbeat`, members in probing or in a snapshot transfer are skipped,
        because only one message to them is in flight at a time.
        """
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
        """Send a member its next entries or snapshot chunk, or a heartbeat."""
        body = self._lead.body_for(
            progress, self.log, self.commit_index, now, heartbeat
        )
        if isinstance(body, pb.AppendRequest):
            self._send(member_id, append_request=body)
        else:
            self._send(member_id, snapshot_chunk=body)

    def _tick_leader(self, lead: replication.Leadership, now: float) -> None:
        """Send heartbeats, or step down if no quorum acknowledged within the timeout.

        After the timeout of a leadership transfer, the leader steps down if the target
        was asked to start an election; otherwise it cancels the transfer.
        """
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
        """Handle a member's acknowledgement of entries."""
        reply, lead = message.append_reply, self._lead
        progress = lead and lead.note_reply(message.sender, reply.round, now)
        if progress is None:
            return
        send = lead.note_append_reply(progress, reply)
        self._advance_commit(now)
        self._go_on(message.sender, progress, send, now)

    def _on_snapshot_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Handle a member's acknowledgement of a snapshot chunk."""
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
        """Send a member the entries it lacks, then continue a leadership transfer."""
        lacks = progress.next_index <= self.log.last_index or progress.probing
        if send and lacks:
            self._send_log(member_id, progress, now)
        self._ask_for_election(now)

    def _advance_commit(self, now: float) -> None:
        """Commit the entries that a quorum has stored.

        Entries of earlier terms are committed only together with an entry of the
        current term.
        """
        lead = self._lead
        match = lead.quorum_match(self.log.last_index)
        if match <= self.commit_index or match < lead.first_index:
            return
        self.commit_index = match
        notice_at = now + self.timing.commit_notice_s
        lead.heartbeat_at = min(lead.heartbeat_at, notice_at)

    def _leader_proof(self, now: float) -> float:
        """Return the latest time at which this leader was known to be current."""
        if self.commit_index < self._lead.first_index:
            return self._proof_at
        return max(self._proof_at, self._lead.proof_time(now))

    def _ask_for_election(self, now: float) -> None:
        """Ask the target of a transfer to start an election if its log is complete."""
        transfer = self._lead.transfer
        if transfer is None or transfer.asked:
            return
        progress = self._lead.progress.get(transfer.target)
        if progress and progress.match_index == self.log.last_index:
            transfer.asked = True
            self._send(transfer.target, elect_now=pb.ElectNow())
