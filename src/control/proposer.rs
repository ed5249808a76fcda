//! Proposes commands to the replicated log and decodes their outcomes.

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

/// Delay before a proposal is retried that found too many in flight.
const BUSY_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Proposes commands to the replicated log.
#[derive(Clone)]
pub struct Proposer {
    /// The number of this replica.
    pub replica: ids::ReplicaKey,
    /// Number of voters that the group maintains; none if only tickets change its members.
    pub voters: Option<u32>,
    /// The replicated log.
    pub log: rc::Rc<dyn machine::Log>,
    /// The state to which entries are applied.
    pub shared: rc::Rc<ledger_machine::Shared>,
}

impl Proposer {
    /// Proposes a command and returns its outcome once it is applied here.
    pub async fn propose(
        &self,
        command: command::Command,
    ) -> Result<outcome::Outcome, machine::ProposeError> {
        let entry = command::Entry { at: self.shared.now().wall, command };
        let bytes = codec::encode(&wire_command::Entry::from(entry));
        let started = time::Instant::now();
        let reply = self.log.propose(bytes).await?;
        metrics::observe(metrics::COMMIT_SECONDS, started.elapsed());
        let decoded = codec::decode::<wire_command::Outcome>(&reply);
        let outcome = decoded.and_then(outcome::Outcome::try_from);
        Ok(outcome.unwrap_or(outcome::Outcome::Stale))
    }

    /// Proposes a command and retries while too many proposals are in flight.
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

/// Returns the refusal for the caller of a failed proposal; none if the call belongs to another
/// leader.
pub fn refusal(error: &machine::ProposeError) -> Option<verdict::Refusal> {
    match error {
        machine::ProposeError::NotLeader | machine::ProposeError::Unknown => None,
        machine::ProposeError::Busy => {
            Some(verdict::Refusal::not_run(verdict::Reason::Overloaded, "control is busy"))
        }
    }
}
