//! The accepted change tickets, and which ticket last set each object.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::ids;
use crate::core::ledger::command;
use crate::core::time;
use crate::core::verdict;
use crate::macros;

/// The most records of accepted tickets that are retained. The number of the ticket that last set
/// an object is retained for ever.
pub const MAX_TICKETS: usize = 50_000;

macros::value_types! {
    /// The record of an accepted ticket.
    pub struct Record {
        /// SHA-256 digest of the ticket's content.
        pub digest: [u8; 32],
        /// The configuration revision that the ticket created.
        pub revision: ids::Revision,
        /// The ledger's time at which the ticket was accepted.
        pub at: time::Wall,
        /// Names of the objects that the ticket set, such as `account/swan-coast`.
        pub objects: Vec<String>,
    }

    /// The accepted tickets, and the last ticket of each object.
    #[derive(Default)]
    pub struct Tickets {
        /// Records of accepted tickets, by ticket number.
        pub records: BTreeMap<ids::TicketNumber, Record>,
        /// For each object name, the number of the ticket that last set the object.
        pub last_tickets: BTreeMap<String, ids::TicketNumber>,
    }

    /// Whether a ticket is new or was accepted before.
    pub enum Admission {
        /// The ticket is new and may be applied.
        New,
        /// The same ticket was accepted before and created this revision.
        Duplicate(ids::Revision),
    }
}

impl Tickets {
    /// Checks a ticket's number and objects, without changing anything.
    ///
    /// Refuses a number that was used with other content (`TicketReused`), a number that is not
    /// above the last ticket of an object (`TicketStale`), and an object named twice
    /// (`BadRequest`).
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
            if let Some(last) = self.last_tickets.get(&object)
                && *last >= ticket.number
            {
                let detail = format!("{object} was set by ticket {last}");
                return Err(verdict::Refusal::not_run(verdict::Reason::TicketStale, detail));
            }
            if !seen.insert(object.clone()) {
                let detail = format!("{object} stands twice in the ticket");
                return Err(verdict::Refusal::not_run(verdict::Reason::BadRequest, detail));
            }
        }
        Ok(Admission::New)
    }

    /// Records an accepted ticket, and drops the records with the lowest numbers beyond
    /// [`MAX_TICKETS`].
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

/// Formats bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
