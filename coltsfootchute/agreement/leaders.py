"""Log replication: the leader sends entries and snapshots, followers store them."""

from coltsfootchute.agreement import members, memberships, records, replication
from coltsfootchute.proto import coltsfootchute_pb2 as pb

__all__ = ["ReplicatingMember"]


class ReplicatingMember(members.Member):
    """A member that replicates the log, both as a follower and as the leader."""

    # Followers.

    def _on_append_request(self, message: pb.PeerMessage, now: float) -> None:
        """Store a leader's entries if the log holds the entry before them."""
        request = message.append_request
        self._record_leader_contact(message.sender, now)
        previous = request.previous_index
        is_committed = previous <= self.commit_index
        if not is_committed and self.log.term_at(previous) != request.previous_term:
            hint = self.log.conflict_hint(previous, self.commit_index)
            reply = pb.AppendReply(hint_index=hint, round=request.round)
            self._send(message.sender, append_reply=reply)
            return
        new_entries = self.log.merge(request.entries, self.commit_index)
        self._actions.entries.extend(new_entries)
        match_index = previous + len(request.entries)
        commit_index = min(request.commit_index, match_index)
        self.commit_index = max(self.commit_index, commit_index)
        self._record_proof(message, now)
        reply = pb.AppendReply(
            accepted=True, match_index=match_index, round=request.round
        )
        self._send(message.sender, append_reply=reply)

    def _record_proof(self, message: pb.PeerMessage, now: float) -> None:
        """Record when the replica was current, if the message proves it.

        A message proves it if its sender held the lease and all entries that the
        sender had committed are committed here.
        """
        request = message.append_request
        delay = self._delay_estimator.excess(
            (message.term, message.sender), request.round, now
        )
        if now < self._proofs_valid_from:
            return
        if request.has_lease and request.commit_index <= self.commit_index:
            self._proof_at = max(self._proof_at, now - delay)

    def _on_snapshot_chunk(self, message: pb.PeerMessage, now: float) -> None:
        """Add a chunk of a snapshot; install the snapshot once it is complete.

        A snapshot whose last entry is in the log isn't installed.
        """
        chunk = message.snapshot_chunk
        self._record_leader_contact(message.sender, now)
        index = chunk.meta.index
        reply = pb.SnapshotReply(index=index, round=chunk.round)
        reply.installed = index <= self.commit_index
        if not reply.installed and self.log.term_at(index) == chunk.meta.term:
            self.commit_index = index
            reply.installed = True
        if not reply.installed:
            snapshot = self._snapshot_assembler.add(chunk)
            reply.installed = snapshot is not None
            reply.next_offset = self._snapshot_assembler.next_offset
            if snapshot:
                self._install_snapshot(snapshot)
        self._send(message.sender, snapshot_reply=reply)

    def _install_snapshot(self, snapshot: records.Snapshot) -> None:
        """Replace the log and the state by a snapshot."""
        self.log.reset(snapshot)
        self.commit_index = self.applied_index = snapshot.meta.index
        self._applied_bytes = 0
        self._actions.snapshot = snapshot

    def _on_elect_now(self, message: pb.PeerMessage, now: float) -> None:
        """Start an election, because the leader transfers its leadership."""
        own_id = self.identity.member_id
        if message.sender == self.leader_id and memberships.is_voter(
            self.membership, own_id
        ):
            self._start_election(now, transfer=True)

    # Leader.

    def _become_leader(self, now: float) -> None:
        """Become the leader of the current term."""
        self.role = records.Role.LEADER
        self.leader_id = self.identity.member_id
        self._ballot = None
        first_index = self.log.last_index + 1
        self._leadership = replication.Leadership(
            self.identity.member_id, first_index, now, self.timing
        )
        self._leadership.set_membership(self.membership, first_index, now)
        self._append([(pb.ENTRY_KIND_NOOP, b"")], now)

    def _append(self, items: list[tuple[int, bytes]], now: float) -> range:
        """Append entries in the current term and send them to the members."""
        first_index = self.log.last_index + 1
        for kind, payload in items:
            entry = pb.LogEntry(
                index=self.log.last_index + 1,
                term=self.term,
                kind=kind,
                payload=payload,
            )
            self.log.append(entry)
            self._actions.entries.append(entry)
            if kind == pb.ENTRY_KIND_MEMBERSHIP:
                self._leadership.set_membership(self.membership, first_index, now)
        self._advance_commit(now)
        self._broadcast(now)
        return range(first_index, self.log.last_index + 1)

    def _broadcast(self, now: float, heartbeat: bool = False) -> None:
        """Send entries or a heartbeat to all members.

        Without `heartbeat`, members that are being probed or are receiving a snapshot
        are skipped, because only one message to them is in flight at a time.
        """
        if heartbeat:
            self._leadership.next_heartbeat_at = now + self.timing.heartbeat_s
        for member_id, progress in self._leadership.progress.items():
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
        body = self._leadership.next_body(
            progress, self.log, self.commit_index, now, heartbeat
        )
        if isinstance(body, pb.AppendRequest):
            self._send(member_id, append_request=body)
        else:
            self._send(member_id, snapshot_chunk=body)

    def _tick_leader(self, leadership: replication.Leadership, now: float) -> None:
        """Send heartbeats, or step down if no quorum acknowledged within the timeout.

        After the timeout of a leadership transfer, the leader steps down if the target
        was asked to start an election; otherwise it cancels the transfer.
        """
        if now - leadership.last_quorum_at >= self.timing.election_min_s:
            self._become_follower(self.term, now)
            return
        transfer = leadership.transfer
        if transfer and now - transfer.started_at >= self.timing.election_min_s:
            if transfer.is_requested:
                self._become_follower(self.term, now)
                return
            leadership.transfer = None
        self._broadcast(now, heartbeat=True)

    def _on_append_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Handle a member's acknowledgement of entries."""
        reply, leadership = message.append_reply, self._leadership
        progress = leadership and leadership.record_reply(
            message.sender, reply.round, now
        )
        if progress is None:
            return
        send_now = leadership.on_append_reply(progress, reply)
        self._advance_commit(now)
        self._continue_replication(message.sender, progress, send_now, now)

    def _on_snapshot_reply(self, message: pb.PeerMessage, now: float) -> None:
        """Handle a member's acknowledgement of a snapshot chunk."""
        reply, leadership = message.snapshot_reply, self._leadership
        progress = leadership and leadership.record_reply(
            message.sender, reply.round, now
        )
        if progress is None:
            return
        send_now = leadership.on_snapshot_reply(progress, reply)
        self._advance_commit(now)
        self._continue_replication(message.sender, progress, send_now, now)

    def _continue_replication(
        self, member_id: str, progress: replication.Progress, send_now: bool, now: float
    ) -> None:
        """Send a member the entries it lacks, then continue a leadership transfer."""
        is_behind = progress.next_index <= self.log.last_index or progress.probing
        if send_now and is_behind:
            self._send_log(member_id, progress, now)
        self._request_election(now)

    def _advance_commit(self, now: float) -> None:
        """Commit the entries that a quorum has stored.

        Entries of earlier terms are committed only together with an entry of the
        current term.
        """
        leadership = self._leadership
        match_index = leadership.quorum_match_index(self.log.last_index)
        if match_index <= self.commit_index or match_index < leadership.first_index:
            return
        self.commit_index = match_index
        announce_at = now + self.timing.commit_heartbeat_delay_s
        leadership.next_heartbeat_at = min(leadership.next_heartbeat_at, announce_at)

    def _leader_proof_time(self, now: float) -> float:
        """Return the latest time at which this leader was known to be current."""
        if self.commit_index < self._leadership.first_index:
            return self._proof_at
        return max(self._proof_at, self._leadership.proof_time(now))

    def _request_election(self, now: float) -> None:
        """Ask the target of a transfer to start an election if its log is complete."""
        transfer = self._leadership.transfer
        if transfer is None or transfer.is_requested:
            return
        progress = self._leadership.progress.get(transfer.target)
        if progress and progress.match_index == self.log.last_index:
            transfer.is_requested = True
            self._send(transfer.target, elect_now=pb.ElectNow())
