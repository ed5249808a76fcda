//! Elections: pre-votes, votes, and the conditions under which a vote is withheld.

use std::collections::BTreeSet;

use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::consensus::replica::Core;
use crate::core::consensus::replica::State;
use crate::core::ids;
use crate::core::time;

impl Core {
    /// Starts a pre-vote, or an election if no pre-vote is needed.
    pub(super) fn on_election_timeout(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        self.reset_election_timer(now);
        if !self.members.current().is_voter(self.id) {
            return;
        }
        if !self.rules.pre_vote || self.members.current().quorum_size() == 1 {
            self.start_election(now, false, out);
            return;
        }
        self.state = State::PreCandidate { votes: BTreeSet::from([self.id]) };
        let body =
            message::Body::PreVote { last: self.log.last(), last_term: self.log.last_term() };
        let term = ids::Term(self.hard_state.term.0 + 1);
        self.broadcast(term, body, out);
    }

    /// Starts a new term as a candidate and requests votes.
    pub(super) fn start_election(
        &mut self,
        now: time::Tick,
        transfer: bool,
        out: &mut Vec<message::Output>,
    ) {
        let term = ids::Term(self.hard_state.term.0 + 1);
        self.become_follower(now, term, None);
        self.hard_state.vote = Some(self.id);
        self.persist_hard(out);
        self.state = State::Candidate { votes: BTreeSet::from([self.id]) };
        let (last, last_term) = (self.log.last(), self.log.last_term());
        self.broadcast(term, message::Body::Vote { last, last_term, transfer }, out);
        self.count_votes(now, out);
    }

    fn broadcast(&mut self, term: ids::Term, body: message::Body, out: &mut Vec<message::Output>) {
        let voters: Vec<_> = self.members.current().voters().collect();
        for id in voters {
            if id != self.id {
                self.send(id, term, body.clone(), out);
            }
        }
    }

    /// Becomes the leader once a quorum has granted its votes and this replica's own is durable.
    pub(super) fn count_votes(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Candidate { votes } = &self.state else { return };
        let granted = votes.iter().filter(|&&id| self.members.current().is_voter(id)).count();
        if granted >= self.members.current().quorum_size() && self.hard_durable() {
            self.become_leader(now, out);
        }
    }

    /// Whether this replica is the leader, or a leader that it received a message from, possibly
    /// before a restart, may still hold its lease.
    fn withholds_vote(&self, now: time::Tick) -> bool {
        let leads = matches!(self.state, State::Leader(_));
        self.rules.withhold_votes && (leads || now < self.withheld_until)
    }

    fn up_to_date(&self, last: ids::LogIndex, last_term: ids::Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    /// Handles a message if it is addressed to this store.
    pub(super) fn receive(
        &mut self,
        now: time::Tick,
        envelope: message::Envelope,
        out: &mut Vec<message::Output>,
    ) {
        let addressed = match self.rules.store_identity {
            true => envelope.to == self.id,
            false => envelope.to.replica == self.id.replica,
        };
        if !addressed || self.hard_state.group.is_some_and(|group| group != envelope.group) {
            return;
        }
        if self.hard_state.group.is_none() {
            // Only a leader whose membership includes this store sends messages to it.
            self.join_group(envelope.group, out);
        }
        if self.check_term(now, &envelope, out) {
            self.dispatch(now, envelope, out);
        }
    }

    /// Compares the message's term with this replica's. Returns false if the message needs no
    /// further handling.
    fn check_term(
        &mut self,
        now: time::Tick,
        envelope: &message::Envelope,
        out: &mut Vec<message::Output>,
    ) -> bool {
        let (from, term) = (envelope.from, envelope.term);
        match &envelope.body {
            message::Body::PreVote { .. } => return true,
            message::Body::PreVoteResponse { granted: true } => {
                return term.0 == self.hard_state.term.0 + 1;
            }
            message::Body::Vote { transfer: false, .. } if self.withholds_vote(now) => {
                return false;
            }
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
            self.persist_hard(out);
        }
        if term < self.hard_state.term {
            self.reject_stale(from, &envelope.body, out);
            return false;
        }
        true
    }

    /// Tells the sender of a message of an older term the current term.
    fn reject_stale(
        &mut self,
        from: entry::Identity,
        body: &message::Body,
        out: &mut Vec<message::Output>,
    ) {
        let response = match body {
            message::Body::Append { .. } | message::Body::SnapshotChunk { .. } => {
                let matched = ids::LogIndex(0);
                message::Body::AppendResponse { matched, round: 0, mismatch: None }
            }
            message::Body::Vote { .. } => message::Body::VoteResponse { granted: false },
            _ => return,
        };
        self.send(from, self.hard_state.term, response, out);
    }

    fn dispatch(
        &mut self,
        now: time::Tick,
        envelope: message::Envelope,
        out: &mut Vec<message::Output>,
    ) {
        let from = envelope.from;
        match envelope.body {
            message::Body::PreVote { last, last_term } => {
                self.on_pre_vote(now, from, envelope.term, (last, last_term), out);
            }
            message::Body::PreVoteResponse { granted } => {
                self.on_pre_vote_response(now, from, granted, out)
            }
            message::Body::Vote { last, last_term, .. } => {
                self.on_vote(now, from, (last, last_term), out);
            }
            message::Body::VoteResponse { granted } => {
                self.on_vote_response(now, from, granted, out)
            }
            message::Body::Append { prev, prev_term, entries, commit, round } => {
                self.on_leader_message(now, from);
                self.on_append(from, (prev, prev_term), entries, (commit, round), out);
            }
            message::Body::AppendResponse { matched, round, mismatch } => {
                self.on_append_response(now, from, matched, round, mismatch, out);
            }
            message::Body::SnapshotChunk { snapshot, offset, bytes } => {
                self.on_leader_message(now, from);
                self.on_chunk(from, snapshot, offset, &bytes, out);
            }
            message::Body::SnapshotChunkResponse { index, offset } => {
                self.on_chunk_response(now, from, index, offset, out);
            }
            message::Body::TimeoutNow => {
                if self.members.current().is_voter(self.id) {
                    self.start_election(now, true, out);
                }
            }
        }
    }

    /// Follows the leader of this term after a message from it.
    fn on_leader_message(&mut self, now: time::Tick, from: entry::Identity) {
        self.become_follower(now, self.hard_state.term, Some(from));
        self.withheld_until = now + consensus::ELECTION_TIMEOUT;
    }

    fn on_pre_vote(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        term: ids::Term,
        (last, last_term): (ids::LogIndex, ids::Term),
        out: &mut Vec<message::Output>,
    ) {
        let granted = term > self.hard_state.term
            && !self.withholds_vote(now)
            && self.up_to_date(last, last_term);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, term, message::Body::PreVoteResponse { granted }, out);
    }

    fn on_pre_vote_response(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        granted: bool,
        out: &mut Vec<message::Output>,
    ) {
        let from = self.resolve_member(from);
        let State::PreCandidate { votes } = &mut self.state else { return };
        if granted {
            votes.insert(from);
        }
        let granted = votes.iter().filter(|&&id| self.members.current().is_voter(id)).count();
        if granted >= self.members.current().quorum_size() {
            self.start_election(now, false, out);
        }
    }

    fn on_vote(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        (last, last_term): (ids::LogIndex, ids::Term),
        out: &mut Vec<message::Output>,
    ) {
        let can_vote = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        let granted = can_vote && self.up_to_date(last, last_term);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.persist_hard(out);
            self.reset_election_timer(now);
        }
        self.send(from, self.hard_state.term, message::Body::VoteResponse { granted }, out);
    }

    fn on_vote_response(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        granted: bool,
        out: &mut Vec<message::Output>,
    ) {
        let from = self.resolve_member(from);
        let State::Candidate { votes } = &mut self.state else { return };
        if granted {
            votes.insert(from);
        }
        self.count_votes(now, out);
    }

    /// The member that a sender counts as: itself or, without the rule `store_identity`, the
    /// member with its replica number.
    pub(super) fn resolve_member(&self, from: entry::Identity) -> entry::Identity {
        if self.rules.store_identity {
            return from;
        }
        let members = &self.members.current().members;
        members.iter().map(|m| m.id).find(|id| id.replica == from.replica).unwrap_or(from)
    }

    /// Steps down if a quorum has not confirmed this leader for an election timeout.
    pub(super) fn check_quorum(&mut self, now: time::Tick) {
        let State::Leader(leader) = &self.state else { return };
        let sole_voter = self.members.current().voters().all(|id| id == self.id);
        if !sole_voter && now - leader.last_quorum >= consensus::ELECTION_TIMEOUT {
            self.become_follower(now, self.hard_state.term, None);
        }
    }
}
