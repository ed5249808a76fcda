//! Messages between a gate and a control replica: calls that concern workflows.
//!
//! A reply carries the number of its call.

use crate::core::workflow::directory;
use crate::core::workflow::job;
use crate::core::workflow::model;
use crate::macros;
use crate::net::leader;

macros::value_types! {
    /// A message from a gate to control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ClientMessage {
        /// Opens the session; always the first message.
        Hello {
            /// The gate's [`crate::wire::codec::PROTOCOL_VERSION`].
            version: u16,
            /// Number of the cell that the gate serves.
            cell: u16,
        },
        /// A call, answered by one [`ServerMessage::Reply`] with the same number.
        Call {
            /// Number of the call, increasing within the stream.
            id: u64,
            /// The requested operation.
            body: Call,
        },
        /// Checks that the replica still leads; answered by [`ServerMessage::Alive`].
        Ping,
    }

    /// The target and the credential of a caller's request.
    #[derive(bincode::Encode, bincode::Decode)]
    pub struct Target {
        /// The host named in the request.
        pub host: String,
        /// The path of the request.
        pub path: String,
        /// The credential, if the request has one.
        pub credential: Option<String>,
    }

    /// An operation that a gate calls on control.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Call {
        /// Submits a job. The reply is [`Reply::Accepted`], once the job is durable.
        Submit(Target, model::Workflow),
        /// Returns the phase of a job as [`Reply::Job`], or the number of pending jobs of a queue
        /// as [`Reply::Pending`].
        Show(Target),
        /// Cancels a job. The reply is [`Reply::Cancelled`].
        Cancel(Target),
        /// Replaces the configuration of the workflows. The reply is [`Reply::Configured`].
        Configure(directory::Directory),
        /// Returns the current configuration as [`Reply::Configuration`].
        Configuration,
    }

    /// A message from control to a gate.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum ServerMessage {
        /// Answers [`ClientMessage::Hello`]: this replica is the leader. Carries the addresses of
        /// all replicas.
        Welcome(Vec<String>),
        /// This replica isn't the leader. Carries the leader's address, if known, and the addresses
        /// of all replicas.
        NotLeader(Option<String>, Vec<String>),
        /// Replies to a call.
        Reply {
            /// Number of the call.
            id: u64,
            /// Content of the reply.
            body: Reply,
        },
        /// Answers [`ClientMessage::Ping`]; sent only by the leader.
        Alive,
    }

    /// The reply to a call.
    #[derive(bincode::Encode, bincode::Decode)]
    pub enum Reply {
        /// The job is accepted and durable.
        Accepted,
        /// The phase of the job.
        Job(job::Phase),
        /// The job was cancelled, or had ended already.
        Cancelled,
        /// The number of jobs of the queue of which no task has started.
        Pending(u64),
        /// The configuration is durable, or superseded by a higher version.
        Configured,
        /// The document of the current configuration.
        Configuration(Vec<u8>),
        /// The call had no effect: the workflows have no configuration yet.
        NoConfiguration,
        /// The call had no effect: no queue has this address.
        NoQueue,
        /// The call had no effect: the credential belongs to no client account.
        NoCredential,
        /// The queue has no such job.
        NoJob,
        /// The call had no effect: its content is invalid, with this detail.
        Invalid(String),
        /// The outcome is unknown to this replica; if true, the call may still take effect.
        Undecided(bool),
        /// The call had no effect: control has no memory for the job. Carries the time in seconds after
        /// which there may be some.
        Full(u64),
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

impl Call {
    /// Returns the target of a call on a queue or job.
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::Submit(target, _) | Self::Show(target) | Self::Cancel(target) => Some(target),
            Self::Configure(_) | Self::Configuration => None,
        }
    }

    /// Returns whether the call changes nothing.
    pub fn is_read(&self) -> bool {
        match self {
            Self::Show(_) | Self::Configuration => true,
            Self::Submit(..) | Self::Cancel(_) | Self::Configure(_) => false,
        }
    }
}

impl Reply {
    /// Returns whether the call was refused by the configuration or for the memory of that moment, so
    /// that the same call may have been accepted earlier.
    pub fn depends_on_moment(&self) -> bool {
        let by_configuration =
            matches!(self, Self::NoConfiguration | Self::NoQueue | Self::NoCredential);
        by_configuration || matches!(self, Self::Full(_))
    }

    /// Returns a label of one or two words for logs.
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
            Self::Full(_) => "full",
        }
    }
}
