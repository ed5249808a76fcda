//! Messages between a gate and a control replica: calls on workflows, matched by number.

use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::macros;
use crate::net::leader;

macros::value_types! {
    /// From a gate to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// The first message.
        Hello {
            /// [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// The cell.
            cell: u16,
        },
        /// A call; answered by one [`ServerMessage::Reply`] with the same number.
        Call {
            /// The call's number on this stream, rising.
            id: u64,
            /// What is asked.
            body: Call,
        },
        /// Asks for a [`ServerMessage::Alive`].
        Ping,
    }

    /// Where a caller's request leads, and what allows it.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Target {
        /// The host that the caller named.
        pub host: String,
        /// The path.
        pub path: String,
        /// The credential, if there is one.
        pub credential: Option<String>,
    }

    /// What a gate asks of control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Call {
        /// Accept a job.
        Submit(Target, model::Workflow),
        /// How a job stands, or how many jobs of a queue wait.
        Show(Target),
        /// Cancel a job.
        Cancel(Target),
        /// Replace the configuration.
        Configure(directory::Directory),
        /// The configuration in force.
        Configuration,
    }

    /// From control to a gate.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// This replica leads; the addresses are those of all replicas.
        Welcome(Vec<String>),
        /// This replica does not lead; the leader's address, where known, and all replicas'.
        NotLeader(Option<String>, Vec<String>),
        /// The reply to a call.
        Reply {
            /// The call's number.
            id: u64,
            /// The reply.
            body: Reply,
        },
        /// The answer to [`ClientMessage::Ping`] of a replica that leads.
        Alive,
    }

    /// The reply to a call.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Reply {
        /// The job is accepted and durable.
        Accepted,
        /// How far a job is.
        Job(job::Phase),
        /// The job is cancelled, or had ended before.
        Cancelled,
        /// So many jobs wait for their first task.
        Pending(u64),
        /// The configuration is durable, or overtaken by a higher version.
        Configured,
        /// The document of the configuration in force.
        Configuration(Vec<u8>),
        /// There is no configuration yet; nothing was done.
        NoConfiguration,
        /// No queue has this address; nothing was done.
        NoQueue,
        /// The credential belongs to no client account; nothing was done.
        NoCredential,
        /// There is no such job.
        NoJob,
        /// What was sent can't be accepted; nothing was done.
        Invalid(String),
        /// This replica can't tell; with true, what was asked may still happen.
        Undecided(bool),
    }
}

impl leader::Greet for ServerMessage {
    fn greeting(&self) -> leader::Greeting {
        match self {
            ServerMessage::Welcome(replicas) => leader::Greeting::Leads(replicas.clone()),
            ServerMessage::NotLeader(leader, replicas) => {
                leader::Greeting::Follows(leader.clone(), replicas.clone())
            }
            ServerMessage::Reply { .. } | ServerMessage::Alive => leader::Greeting::Other,
        }
    }
}

impl Reply {
    /// The reply in a word or two, for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Job(_) => "shown",
            Self::Cancelled => "cancelled",
            Self::Pending(_) => "counted",
            Self::Configured | Self::Configuration(_) => "configured",
            Self::NoConfiguration => "no configuration",
            Self::NoQueue => "no queue",
            Self::NoCredential => "no credential",
            Self::NoJob => "no job",
            Self::Invalid(_) => "invalid",
            Self::Undecided(_) => "undecided",
        }
    }
}
