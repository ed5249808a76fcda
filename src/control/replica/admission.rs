//! Requests for admission to the group, sent by a replica without a leader.
//!
//! The replica sends a request to the seeds and all other replicas that it knows; each responds with
//! the members that it knows. The leader decides whether the group needs the replica. A new store,
//! a host that replaces another and a replica that was removed while it was down join in this way.

use std::collections::BTreeSet;
use std::net;
use std::rc;
use std::time;

use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt as _;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::wire;

/// Interval of the requests.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Periods for which a replica that belongs to a group waits for a leader before it sends requests;
/// elections take less time. A store without a group has no leader to wait for.
const MAX_LEADERLESS_PERIODS: u32 = 3;

/// Limit of dialling a replica and receiving its response.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Requests admission while this replica neither leads nor hears from a leader.
pub(super) async fn run(driver: rc::Rc<driver::Driver>) {
    let mut leaderless_periods = 0;
    let mut period = tokio::time::interval(REQUEST_INTERVAL);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = driver.stopped() => return,
        }
        leaderless_periods = if driver.is_led() { 0 } else { leaderless_periods + 1 };
        let awaits_election =
            driver.group().is_some() && leaderless_periods <= MAX_LEADERLESS_PERIODS;
        if leaderless_periods == 0 || awaits_election || driver.addresses().seeds().is_empty() {
            continue;
        }
        tokio::select! {
            () = request_all(&driver) => {}
            () = driver.stopped() => return,
        }
    }
}

/// Sends a request to every known replica, and to those that they report.
async fn request_all(driver: &driver::Driver) {
    let mut requested = BTreeSet::from([driver.addresses().own()]);
    let mut requests = FuturesUnordered::new();
    loop {
        let known = driver.known_addrs();
        let known = known.iter().filter_map(|addr| addr.parse().ok());
        for addr in known.chain(driver.addresses().seeds()) {
            if requested.insert(addr) {
                requests.push(tokio::time::timeout(RESPONSE_TIMEOUT, request(driver, addr)));
            }
        }
        if requests.next().await.is_none() {
            return;
        }
    }
}

/// Sends a request to one replica and adds the members that it reports.
async fn request(driver: &driver::Driver, addr: net::SocketAddr) {
    let Ok(mut session) = peer::Session::open(driver, addr).await else { return };
    let own = driver.addresses().own().to_string();
    session.sender.send(&wire::peer::ClientMessage::RequestAdmission(own)).await;
    if let Some(wire::peer::ServerMessage::Members(members)) = session.receiver.receive().await {
        driver.addresses().add_reported(&members);
    }
}
