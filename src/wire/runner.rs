//! Messages between the agent beside a worker of workflows and a control replica.

use crate::core::dispatch::order;
use crate::core::workflow::model;
use crate::macros;
use crate::net::leader;

macros::value_types! {
    /// From an agent to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// The first message.
        Hello {
            /// [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// The cell.
            cell: u16,
            /// The host the agent runs on.
            host: u32,
        },
        /// How the worker stands; answered by a grant while it is in order.
        Report(order::Report),
        /// The run does not go on and never will.
        Closed {
            /// The worker's incarnation.
            incarnation: model::Incarnation,
            /// The task.
            task: model::TaskName,
            /// The number of the start.
            run: u32,
        },
    }

    /// From control to an agent.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// This replica leads; orders carry its term as fencing token.
        Welcome {
            /// The term.
            term: u64,
            /// The addresses of all replicas.
            replicas: Vec<String>,
        },
        /// This replica does not lead; the leader's address, where known, and all replicas'.
        NotLeader(Option<String>, Vec<String>),
        /// What the agent is to do.
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
