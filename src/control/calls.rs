//! Calls of callers and operators, which entries forward to the leader.

use std::time as std_time;

use crate::control::proposer;
use crate::control::report;
use crate::control::workflows;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::job;
use crate::core::ledger::outcome;
use crate::core::ledger::state;
use crate::core::time;
use crate::core::verdict;
use crate::core::workflow;
use crate::net::stream;
use crate::telemetry::event;
use crate::wire::common;
use crate::wire::entry;

/// Longest time that a fetch waits for the job's end before it returns the present state.
const MAX_WAIT: std_time::Duration = std_time::Duration::from_secs(60);

/// One call in progress.
pub struct Call {
    /// Proposes the call's command.
    pub proposer: proposer::Proposer,
    /// The sending side of the entry's stream.
    pub sender: stream::Sender<entry::ServerMessage>,
    /// Identifies the call on its stream.
    pub id: u64,
}

/// This replica isn't the leader. The message that tells the entry applies to all its calls.
struct NotLeader;

type CallResult = Result<entry::Reply, NotLeader>;

/// Returns the reply to a call that exceeds the limit of concurrent calls.
pub fn overloaded() -> entry::Reply {
    let refusal = verdict::Refusal::not_run(verdict::Reason::Overloaded, "too many calls");
    entry::Reply::Refused(refusal.into())
}

fn refused(reason: verdict::Reason, detail: impl Into<String>) -> entry::Reply {
    entry::Reply::Refused(verdict::Refusal::not_run(reason, detail).into())
}

impl Call {
    /// Executes the call and sends its replies.
    pub async fn run(self, trace: common::TraceContext, body: entry::Call) {
        let result = match body {
            entry::Call::Answer { account, key, offset } => {
                self.answer(&account, &key, offset).await
            }
            body => self.reply(trace, body).await,
        };
        match result {
            Ok(body) => {
                self.sender.send(&entry::ServerMessage::Reply { id: self.id, body }).await;
            }
            Err(NotLeader) => {
                let leader = self.leader();
                self.sender.send(&entry::ServerMessage::NotLeader { leader }).await;
            }
        }
    }

    fn leader(&self) -> Option<String> {
        match self.proposer.log.view().role {
            crate::control::machine::Role::Follower { leader } => leader.map(|(_, addr)| addr),
            crate::control::machine::Role::Leader(_) => None,
        }
    }

    async fn reply(&self, trace: common::TraceContext, body: entry::Call) -> CallResult {
        match body {
            entry::Call::Submit(spec) => self.submit(trace, spec).await,
            entry::Call::Cancel { account, key } => {
                let outcome = self.propose(command::Command::Cancel { account, key }).await?;
                Ok(self.job_outcome(outcome))
            }
            entry::Call::Fetch { account, key, wait } => self.fetch(&account, &key, wait).await,
            entry::Call::Ticket(ticket) => self.ticket(ticket).await,
            entry::Call::WorkflowCancel(number) => self.cancel_workflow(number).await,
            body => {
                self.barrier().await?;
                self.read(body)
            }
        }
    }

    /// Executes a read-only call on the state that the barrier has confirmed to be current.
    fn read(&self, body: entry::Call) -> CallResult {
        let ledger = self.proposer.shared.ledger.borrow();
        Ok(match body {
            entry::Call::TicketShow(number) => report::ticket(&ledger, number),
            entry::Call::Config => entry::Reply::Config(ledger.config.clone().into()),
            entry::Call::Workers => {
                let leader = self.proposer.shared.leader.borrow();
                entry::Reply::Workers(report::workers(&ledger, leader.as_ref().ok_or(NotLeader)?))
            }
            entry::Call::Jobs { account, limit } => {
                entry::Reply::Jobs(report::jobs(&ledger, &account, limit as usize))
            }
            entry::Call::JobShow(number) => job_reply(&ledger, ids::JobKey(number)),
            entry::Call::Status => {
                let leader = self.proposer.shared.leader.borrow();
                let leader = leader.as_ref().ok_or(NotLeader)?;
                let replica = self.proposer.replica;
                let view = self.proposer.log.view();
                entry::Reply::Status(report::status(&ledger, leader, replica, view))
            }
            entry::Call::Hours { from, until } => {
                let now = self.proposer.shared.now().wall;
                let span = (time::Wall(from), time::Wall(until));
                entry::Reply::Hours(report::hours(&ledger, span, now))
            }
            entry::Call::Workflows { account, limit } => {
                let limit = limit as usize;
                entry::Reply::Workflows(workflows::list(&ledger.workflows, &account, limit))
            }
            entry::Call::WorkflowShow(number) => workflow_reply(&ledger, number),
            _ => refused(verdict::Reason::BadRequest, "not a call that reads"),
        })
    }

    async fn submit(&self, trace: common::TraceContext, spec: common::Spec) -> CallResult {
        let spec = match job::Spec::try_from(spec) {
            Ok(spec) => spec,
            Err(error) => return Ok(refused(verdict::Reason::BadRequest, error.to_string())),
        };
        let outcome = self.propose(command::Command::Submit(spec)).await?;
        if let outcome::Outcome::Job(job) = outcome {
            self.proposer.shared.with_leader(|leader, _, _| leader.set_trace(job, trace));
        }
        Ok(self.job_outcome(outcome))
    }

    fn job_outcome(&self, outcome: outcome::Outcome) -> entry::Reply {
        match outcome {
            outcome::Outcome::Job(job) => job_reply(&self.proposer.shared.ledger.borrow(), job),
            outcome::Outcome::Refused(refusal) => entry::Reply::Refused(refusal.into()),
            _ => refused(verdict::Reason::Unknown, ""),
        }
    }

    async fn ticket(&self, ticket: common::Ticket) -> CallResult {
        let ticket = match command::Ticket::try_from(ticket) {
            Ok(ticket) => ticket,
            Err(error) => return Ok(refused(verdict::Reason::BadRequest, error.to_string())),
        };
        let number = ticket.number;
        Ok(match self.propose(command::Command::Ticket(ticket)).await? {
            outcome::Outcome::Ticket(revision) => {
                event::control::TICKET_ACCEPTED
                    .log(format_args!("number={number} revision={revision}"));
                entry::Reply::Ticket { revision: revision.0 }
            }
            outcome::Outcome::Refused(refusal) => {
                event::control::TICKET_REFUSED.log(format_args!("number={number} why={refusal}"));
                entry::Reply::Refused(refusal.into())
            }
            _ => refused(verdict::Reason::BadRequest, ""),
        })
    }

    /// Cancels a workflow for an operator, by the same command as for a caller.
    async fn cancel_workflow(&self, number: u64) -> CallResult {
        self.barrier().await?;
        let found = {
            let ledger = self.proposer.shared.ledger.borrow();
            let job = ledger.workflows.jobs.get(&ids::JobKey(number));
            job.map(|job| (job.submission.queue.clone(), job.submission.id.clone()))
        };
        let Some((queue, id)) = found else {
            return Ok(refused(verdict::Reason::Unknown, format!("workflow {number}")));
        };
        let cancel = workflow::command::Command::Cancel(queue, id.clone());
        let outcome = self.propose(command::Command::Workflow(cancel)).await?;
        Ok(match outcome {
            outcome::Outcome::Workflow(_) => {
                event::control::JOB_CANCELLED.log(format_args!("id={id} known=true by=operator"));
                workflow_reply(&self.proposer.shared.ledger.borrow(), number)
            }
            outcome::Outcome::Refused(refusal) => entry::Reply::Refused(refusal.into()),
            _ => refused(verdict::Reason::BadRequest, ""),
        })
    }

    async fn fetch(&self, account: &str, key: &str, wait: u64) -> CallResult {
        self.barrier().await?;
        let job = match self.find(account, key) {
            Ok(job) => job,
            Err(refusal) => return Ok(entry::Reply::Refused(refusal.into())),
        };
        let wait = std_time::Duration::from_millis(wait).min(MAX_WAIT);
        if !wait.is_zero() && !self.has_ended(job) {
            let ended = self.proposer.shared.wait_for_end(job);
            // A dropped sender means that this replica has lost leadership.
            if let Ok(Err(_)) = tokio::time::timeout(wait, ended).await {
                return Err(NotLeader);
            }
        }
        Ok(job_reply(&self.proposer.shared.ledger.borrow(), job))
    }

    fn find(&self, account: &str, key: &str) -> Result<ids::JobKey, verdict::Refusal> {
        let ledger = self.proposer.shared.ledger.borrow();
        if let Some(job) = ledger.table.find(account, key) {
            return Ok(job);
        }
        if ledger.table.is_key_expired(account, key) {
            let reason = verdict::Reason::KeyExpired;
            return Err(verdict::Refusal::may_have_run(reason, key));
        }
        Err(verdict::Refusal::not_run(verdict::Reason::Unknown, key))
    }

    fn has_ended(&self, job: ids::JobKey) -> bool {
        let ledger = self.proposer.shared.ledger.borrow();
        ledger.table.jobs.get(&job).is_some_and(|job| job.phase == job::Phase::Ended)
    }

    /// Sends all chunks of the answer but the last, which it returns.
    async fn answer(&self, account: &str, key: &str, offset: u64) -> CallResult {
        self.barrier().await?;
        let job = match self.find(account, key) {
            Ok(job) => job,
            Err(refusal) => return Ok(entry::Reply::Refused(refusal.into())),
        };
        let mut offset = offset;
        loop {
            let reply = self.chunk(job, offset);
            let entry::Reply::Chunk { bytes, last: false, .. } = &reply else { return Ok(reply) };
            offset += bytes.len() as u64;
            let message = entry::ServerMessage::Reply { id: self.id, body: reply };
            if !self.sender.send(&message).await {
                return Err(NotLeader);
            }
        }
    }

    fn chunk(&self, job: ids::JobKey, offset: u64) -> entry::Reply {
        let ledger = self.proposer.shared.ledger.borrow();
        let Some(job) = ledger.table.jobs.get(&job) else {
            return refused(verdict::Reason::Unknown, "");
        };
        match &job.end {
            Some(job::End::Done(_)) => {}
            Some(job::End::Refused(refusal)) => {
                return entry::Reply::Refused(refusal.clone().into());
            }
            None => return refused(verdict::Reason::Unknown, "the request has not ended"),
        }
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(job.answer.len());
        let end = (start + job::CHUNK_BYTES).min(job.answer.len());
        let bytes = job.answer[start..end].to_vec();
        entry::Reply::Chunk { offset: start as u64, bytes, last: end == job.answer.len() }
    }

    async fn barrier(&self) -> Result<(), NotLeader> {
        self.proposer.log.barrier().await.map_err(|_| NotLeader)
    }

    async fn propose(&self, command: command::Command) -> Result<outcome::Outcome, NotLeader> {
        match self.proposer.propose(command).await {
            Ok(outcome) => Ok(outcome),
            Err(error) => match proposer::refusal(&error) {
                Some(refusal) => Ok(outcome::Outcome::Refused(refusal)),
                None => Err(NotLeader),
            },
        }
    }
}

fn workflow_reply(ledger: &state::Ledger, number: u64) -> entry::Reply {
    match workflows::show(&ledger.workflows, ids::JobKey(number)) {
        Some((workflow, tasks)) => entry::Reply::Workflow(workflow, tasks),
        None => refused(verdict::Reason::Unknown, format!("workflow {number}")),
    }
}

fn job_reply(ledger: &state::Ledger, job: ids::JobKey) -> entry::Reply {
    match report::job(ledger, job) {
        Some(job) => entry::Reply::Job(job),
        None => refused(verdict::Reason::Unknown, job.to_string()),
    }
}
