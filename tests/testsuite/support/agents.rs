//! Announcements and preparations for tests of the agent.

use hemlockcleat::agent::contract;
use hemlockcleat::core::ledger::job;
use hemlockcleat::standin::options;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::common;

/// The number of slots in [`announcement`].
pub const SLOTS: u32 = 8;

/// The announcement of a standard worker.
pub fn announcement() -> contract::Announcement {
    let agent = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let url = "http://127.0.0.1:1".to_owned();
    contract::Announcement { url, ..options::Options::new(agent, "w1", "r1").announcement }
}

/// A preparation of all tasks of a gang on one worker under epoch 1.
pub fn prepare(attempt: common::AttemptKey, tasks: u32) -> agent::Prepare {
    agent::Prepare {
        attempt,
        epoch: 1,
        service: "booking".to_owned(),
        kind: "round-rebuild".to_owned(),
        key: "evening".to_owned(),
        first_task: 0,
        tasks,
        gang_tasks: tasks,
        accelerators: 1,
        answer_limit: job::MAX_ANSWER_BYTES,
        payload: b"joondalup".to_vec(),
        trace: common::TraceContext::default(),
    }
}
