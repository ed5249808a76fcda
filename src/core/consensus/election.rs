//! Elections: who may lead, and when no vote is given.

use std::collections::BTreeSet;

use crate::core::consensus;
use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::consensus::replica::Core;
use crate::core::consensus::replica::State;
use crate::core::ids;
use crate::core::time;

impl Core {
    /// The election timer has run out.
    pub(super) fn campaign(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        self.reset_timer(now);
        if !self.members.current().is_voter(self.id) {
            return;
        }
        if !self.rules.pre_vote || self.members.current().quorum_size() == 1 {
            self.stand(now, false, out);
            return;
        }
        self.state = State::PreCandidate { votes: BTreeSet::from([self.id]) };
        let body =
            message::Body::PreVote { last: self.log.last(), last_term: self.log.last_term() };
        let term = ids::Term(self.hard_state.term.0 + 1);
        self.broadcast(term, body, out);
    }

    /// Starts a new term and asks for votes.
    pub(super) fn stand(
        &mut self,
        now: time::Tick,
        transfer: bool,
        out: &mut Vec<message::Output>,
    ) {
        let term = ids::Term(self.hard_state.term.0 + 1);
        self.follow(now, term, None);
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

    /// Becomes leader once a quorum has voted and the own vote is durable.
    pub(super) fn count_votes(&mut self, now: time::Tick, out: &mut Vec<message::Output>) {
        let State::Candidate { votes } = &self.state else { return };
        let granted = votes.iter().filter(|&&id| self.members.current().is_voter(id)).count();
        if granted >= self.members.current().quorum_size() && self.hard_durable() {
            self.lead(now, out);
        }
    }

    /// Whether a leader that this replica has heard may still hold its lease.
    fn withholds(&self, now: time::Tick) -> bool {
        let leads = matches!(self.state, State::Leader(_));
        self.rules.withhold_votes && (leads || now < self.withheld)
    }

    fn up_to_date(&self, last: ids::LogIndex, last_term: ids::Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    /// Takes a message, if it is meant for this very store.
    pub(super) fn receive(
        &mut self,
        now: time::Tick,
        envelope: message::Envelope,
        out: &mut Vec<message::Output>,
    ) {
        let mine = match self.rules.store_identity {
            true => envelope.to == self.id,
            false => envelope.to.replica == self.id.replica,
        };
        if !mine || self.hard_state.group.is_some_and(|group| group != envelope.group) {
            return;
        }
        if self.hard_state.group.is_none() {
            // Only a leader whose membership names this store addresses it.
            self.adopt(envelope.group, out);
        }
        if self.settle_term(now, &envelope, out) {
            self.dispatch(now, envelope, out);
        }
    }

    /// Compares terms. False if the message is settled by that.
    fn settle_term(
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
            message::Body::Vote { transfer: false, .. } if self.withholds(now) => return false,
            _ => {}
        }
        if term > self.hard_state.term {
            self.follow(now, term, None);
            self.persist_hard(out);
        }
        if term < self.hard_state.term {
            self.answer_stale(from, &envelope.body, out);
            return false;
        }
        true
    }

    /// Tells a sender of an older term what the term is.
    fn answer_stale(
        &mut self,
        from: entry::Identity,
        body: &message::Body,
        out: &mut Vec<message::Output>,
    ) {
        let answer = match body {
            message::Body::Append { .. } | message::Body::SnapshotChunk { .. } => {
                let matched = ids::LogIndex(0);
                message::Body::AppendResponse { matched, round: 0, mismatch: None }
            }
            message::Body::Vote { .. } => message::Body::VoteResponse { granted: false },
            _ => return,
        };
        self.send(from, self.hard_state.term, answer, out);
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
                self.answer_pre_vote(now, from, envelope.term, (last, last_term), out);
            }
            message::Body::PreVoteResponse { granted } => self.pre_voted(now, from, granted, out),
            message::Body::Vote { last, last_term, .. } => {
                self.answer_vote(now, from, (last, last_term), out);
            }
            message::Body::VoteResponse { granted } => self.voted(now, from, granted, out),
            message::Body::Append { prev, prev_term, entries, commit, round } => {
                self.heard(now, from);
                self.append(from, (prev, prev_term), entries, (commit, round), out);
            }
            message::Body::AppendResponse { matched, round, mismatch } => {
                self.answered(now, from, matched, round, mismatch, out);
            }
            message::Body::SnapshotChunk { snapshot, offset, bytes } => {
                self.heard(now, from);
                self.chunk(from, snapshot, offset, &bytes, out);
            }
            message::Body::SnapshotChunkResponse { index, offset } => {
                self.chunk_answered(now, from, index, offset, out);
            }
            message::Body::TimeoutNow => {
                if self.members.current().is_voter(self.id) {
                    self.stand(now, true, out);
                }
            }
        }
    }

    /// A leader of this term has spoken.
    fn heard(&mut self, now: time::Tick, from: entry::Identity) {
        self.follow(now, self.hard_state.term, Some(from));
        self.withheld = now + consensus::ELECTION_TIMEOUT;
    }

    fn answer_pre_vote(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        term: ids::Term,
        (last, last_term): (ids::LogIndex, ids::Term),
        out: &mut Vec<message::Output>,
    ) {
        let granted =
            term > self.hard_state.term && !self.withholds(now) && self.up_to_date(last, last_term);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, term, message::Body::PreVoteResponse { granted }, out);
    }

    fn pre_voted(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        granted: bool,
        out: &mut Vec<message::Output>,
    ) {
        let from = self.known_as(from);
        let State::PreCandidate { votes } = &mut self.state else { return };
        if granted {
            votes.insert(from);
        }
        let granted = votes.iter().filter(|&&id| self.members.current().is_voter(id)).count();
        if granted >= self.members.current().quorum_size() {
            self.stand(now, false, out);
        }
    }

    fn answer_vote(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        (last, last_term): (ids::LogIndex, ids::Term),
        out: &mut Vec<message::Output>,
    ) {
        let free = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        let granted = free && self.up_to_date(last, last_term);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.persist_hard(out);
            self.reset_timer(now);
        }
        self.send(from, self.hard_state.term, message::Body::VoteResponse { granted }, out);
    }

    fn voted(
        &mut self,
        now: time::Tick,
        from: entry::Identity,
        granted: bool,
        out: &mut Vec<message::Output>,
    ) {
        let from = self.known_as(from);
        let State::Candidate { votes } = &mut self.state else { return };
        if granted {
            votes.insert(from);
        }
        self.count_votes(now, out);
    }

    /// The member a sender counts as: itself, or, without the rule on identity, whoever has its
    /// number.
    pub(super) fn known_as(&self, from: entry::Identity) -> entry::Identity {
        if self.rules.store_identity {
            return from;
        }
        let members = &self.members.current().members;
        members.iter().map(|m| m.id).find(|id| id.replica == from.replica).unwrap_or(from)
    }

    /// A leader that a quorum has not confirmed for an election timeout stops leading.
    pub(super) fn check_quorum(&mut self, now: time::Tick) {
        let State::Leader(leader) = &self.state else { return };
        let alone = self.members.current().voters().all(|id| id == self.id);
        if !alone && now - leader.confirmed >= consensus::ELECTION_TIMEOUT {
            self.follow(now, self.hard_state.term, None);
        }
    }
}
