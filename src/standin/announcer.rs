//! A stand-in's announcements to its agent, by which it holds its lease.

use std::net;
use std::rc;
use std::time;

use crate::agent::contract;
use crate::standin::server;

/// How long an announcement may go unanswered.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The pause after an announcement that failed.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Announces a stand-in again and again.
pub struct Announcer {
    /// What the stand-in's parts share.
    pub shared: rc::Rc<server::Shared>,
    /// The agent.
    pub agent: net::SocketAddr,
    /// What is announced.
    pub announcement: contract::Announcement,
    /// Whether the stand-in is leaving.
    pub leaving: tokio::sync::watch::Receiver<bool>,
}

impl Announcer {
    /// Announces until dropped.
    pub async fn run(mut self) {
        let http = awc::Client::builder().timeout(TIMEOUT).finish();
        let url = format!("http://{}{}", self.agent, contract::ANNOUNCE_PATH);
        loop {
            self.announcement.leaving = *self.leaving.borrow_and_update();
            self.announcement.usage = self.shared.tasks.borrow().usage();
            let silent = self.shared.tasks.borrow().switches.silent;
            let pause = if silent { PAUSE } else { self.announce(&http, &url).await };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                Ok(()) = self.leaving.changed() => {}
            }
        }
    }

    /// Announces once, and returns when to do so again.
    async fn announce(&self, http: &awc::Client, url: &str) -> time::Duration {
        let sent = time::Instant::now();
        let Ok(mut response) = http.put(url).send_json(&self.announcement).await else {
            return PAUSE;
        };
        let Ok(lease) = response.json::<contract::Lease>().await else { return PAUSE };
        self.shared.tasks.borrow_mut().renew(sent, lease);
        self.shared.changed.notify_waiters();
        time::Duration::from_millis(lease.repeat_ms)
    }
}
