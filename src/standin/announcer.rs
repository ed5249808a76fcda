//! A stand-in's announcements to its agent, which renew its lease.

use std::net;
use std::rc;
use std::time;

use crate::agent::contract;
use crate::standin::server;

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Delay after a failed announcement.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Sends a stand-in's announcements to its agent periodically.
pub struct Announcer {
    /// The stand-in's shared state.
    pub shared: rc::Rc<server::Shared>,
    /// The agent's address.
    pub agent: net::SocketAddr,
    /// The announcement; usage and leaving are updated before each send.
    pub announcement: contract::Announcement,
    /// Whether the stand-in is leaving.
    pub leaving: tokio::sync::watch::Receiver<bool>,
}

impl Announcer {
    /// Sends announcements until dropped.
    pub async fn run(mut self) {
        let http = awc::Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
        let url = format!("http://{}{}", self.agent, contract::ANNOUNCE_PATH);
        loop {
            self.announcement.leaving = *self.leaving.borrow_and_update();
            self.announcement.usage = self.shared.tasks.borrow().usage();
            let silent = self.shared.tasks.borrow().switches.silent;
            let delay = if silent { RETRY_DELAY } else { self.announce(&http, &url).await };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                Ok(()) = self.leaving.changed() => {}
            }
        }
    }

    /// Sends an announcement, and returns the delay until the next one.
    async fn announce(&self, http: &awc::Client, url: &str) -> time::Duration {
        let sent = time::Instant::now();
        let Ok(mut response) = http.put(url).send_json(&self.announcement).await else {
            return RETRY_DELAY;
        };
        let Ok(lease) = response.json::<contract::Lease>().await else { return RETRY_DELAY };
        self.shared.tasks.borrow_mut().renew(sent, lease);
        self.shared.changed.notify_waiters();
        time::Duration::from_millis(lease.repeat_ms)
    }
}
