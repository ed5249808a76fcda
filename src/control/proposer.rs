//! Proposing commands and reading their outcomes.

use std::rc;
use std::time;

use crate::control::ledger_machine;
use crate::control::machine;
use crate::core::ids;
use crate::core::ledger::command;
use crate::core::ledger::outcome;
use crate::core::verdict;
use crate::telemetry::metrics;
use crate::wire::codec;
use crate::wire::command as wire_command;

/// How long to wait before a proposal that found too many waiting is made again.
const BUSY_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Proposes commands to the replicated log.
#[derive(Clone)]
pub struct Proposer {
    /// This replica.
    pub replica: ids::ReplicaKey,
    /// How many voters the group keeps itself at; none where only tickets change it.
    pub voters: Option<u32>,
    /// The log.
    pub log: rc::Rc<dyn machine::Log>,
    /// The state that entries are applied to.
    pub shared: rc::Rc<ledger_machine::Shared>,
}

impl Proposer {
    /// Proposes a command and waits until it is applied here.
    pub async fn propose(
        &self,
        command: command::Command,
    ) -> Result<outcome::Outcome, machine::ProposeError> {
        let entry = command::Entry { at: self.shared.now().wall, command };
        let bytes = codec::encode(&wire_command::Entry::from(entry));
        let started = time::Instant::now();
        let answer = self.log.propose(bytes).await?;
        metrics::observe(metrics::COMMIT_SECONDS, started.elapsed());
        let decoded = codec::decode::<wire_command::Outcome>(&answer);
        let outcome = decoded.and_then(outcome::Outcome::try_from);
        Ok(outcome.unwrap_or(outcome::Outcome::Stale))
    }

    /// Proposes a command, again and again while too many wait.
    pub async fn propose_with_retry(
        &self,
        command: command::Command,
    ) -> Result<outcome::Outcome, machine::ProposeError> {
        loop {
            match self.propose(command.clone()).await {
                Err(machine::ProposeError::Busy) => tokio::time::sleep(BUSY_RETRY_DELAY).await,
                result => return result,
            }
        }
    }
}

/// What a caller is told of a proposal that failed. None: ask the leader instead.
pub fn refusal(error: &machine::ProposeError) -> Option<verdict::Refusal> {
    match error {
        machine::ProposeError::NotLeader | machine::ProposeError::Unknown => None,
        machine::ProposeError::Busy => {
            Some(verdict::Refusal::not_run(verdict::Reason::Overloaded, "control is busy"))
        }
    }
}
