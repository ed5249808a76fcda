//! Messages between the agent of a workflow worker and a control replica.

use crate::core::dispatch::order;
use crate::core::workflow::model;
use crate::macros;
use crate::net::leader;

macros::value_types! {
    /// A message from an agent to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// Opens the session; always the first message.
        Hello {
            /// The agent's [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// Number of the cell that the agent belongs to.
            cell: u16,
            /// Number of the host that the agent runs on.
            host: u32,
        },
        /// Reports the worker's state; answered with a lease if its lists are recent.
        Report(order::Report),
        /// Reports that a run isn't active on the worker and never will be.
        Closed {
            /// The worker incarnation that had the run.
            incarnation: model::Incarnation,
            /// The task of the run.
            task: model::TaskName,
            /// Number of the run within the task.
            run: u32,
        },
    }

    /// A message from control to an agent.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// Answers [`ClientMessage::Hello`]: this replica is the leader. Orders carry the term as
        /// fencing token.
        Welcome {
            /// The leader's term.
            term: u64,
            /// Addresses of all replicas.
            replicas: Vec<String>,
        },
        /// This replica isn't the leader. Carries the leader's address, if known, and the addresses
        /// of all replicas.
        NotLeader(Option<String>, Vec<String>),
        /// An order that the agent must carry out.
        Order(order::Order),
    }
}

impl leader::Greet for ServerMessage {
    fn greeting(&self) -> leader::Greeting {
        match self {
            ServerMessage::Welcome { replicas, .. } => leader::Greeting::Leads(replicas.clone()),
            ServerMessage::NotLeader(leader, replicas) => {
                leader::Greeting::Follows(leader.clone(), replicas.clone())
            }
            ServerMessage::Order(_) => leader::Greeting::Other,
        }
    }
}
