//! The tickets that were accepted, and which ticket last set each object.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::ids;
use crate::core::ledger::command;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

/// How many accepted tickets are remembered. The ticket that last set an object is never forgotten.
pub const MAX_TICKETS: usize = 50_000;

macros::value_types! {
    /// An accepted ticket.
    pub struct Record {
        /// The digest of its content.
        pub digest: [u8; 32],
        /// The revision it made.
        pub revision: ids::Revision,
        /// When it was accepted.
        pub at: time::Wall,
        /// The objects it set.
        pub objects: Vec<String>,
    }

    /// The accepted tickets.
    #[derive(Default)]
    pub struct Tickets {
        /// Records by number.
        pub records: BTreeMap<ids::TicketNumber, Record>,
        /// The number that last set each object.
        pub last_tickets: BTreeMap<String, ids::TicketNumber>,
    }

    /// What the rules say of a ticket.
    pub enum Admission {
        /// It may be applied.
        New,
        /// It was accepted before, at this revision.
        Duplicate(ids::Revision),
    }
}

impl Tickets {
    /// Applies the rules of numbers to a ticket, without changing anything.
    pub fn check(&self, ticket: &command::Ticket) -> Result<Admission, verdict::Refusal> {
        if let Some(record) = self.records.get(&ticket.number) {
            if record.digest == ticket.digest {
                return Ok(Admission::Duplicate(record.revision));
            }
            let detail = format!("accepted with digest {}", hex(&record.digest));
            return Err(verdict::Refusal::not_run(verdict::Reason::TicketReused, detail));
        }
        let mut seen = BTreeSet::new();
        for change in &ticket.changes {
            let object = change.object();
            if let Some(setter) = self.last_tickets.get(&object)
                && *setter >= ticket.number
            {
                let detail = format!("{object} was set by ticket {setter}");
                return Err(verdict::Refusal::not_run(verdict::Reason::TicketStale, detail));
            }
            if !seen.insert(object.clone()) {
                let detail = format!("{object} stands twice in the ticket");
                return Err(verdict::Refusal::not_run(verdict::Reason::BadRequest, detail));
            }
        }
        Ok(Admission::New)
    }

    /// Records an accepted ticket.
    pub fn record(&mut self, ticket: &command::Ticket, revision: ids::Revision, at: time::Wall) {
        let objects: Vec<String> = ticket.changes.iter().map(command::Change::object).collect();
        for object in &objects {
            self.last_tickets.insert(object.clone(), ticket.number);
        }
        let record = Record { digest: ticket.digest, revision, at, objects };
        self.records.insert(ticket.number, record);
        while self.records.len() > MAX_TICKETS {
            self.records.pop_first();
        }
    }
}

/// Bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
