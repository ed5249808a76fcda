//! A replica that no leader counts in asks to be admitted.
//!
//! It tells every replica it knows of, from the seeds on, that it is there; each answers with the
//! members it knows. Whoever leads decides whether the group needs it. A new store, a host that
//! takes another's place and a replica that was given up while it was away all come in this way.

use std::collections::BTreeSet;
use std::net;
use std::rc;
use std::time;

use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt as _;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::wire;

/// How often it asks.
const PERIOD: time::Duration = time::Duration::from_millis(1000);

/// How many periods a replica of a group waits for a leader before it asks: elections take less.
/// A store without a group has no leader to wait for.
const PATIENCE: u32 = 3;

/// How long a replica may take to answer, from dialling it on.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Asks to be admitted while no leader counts this replica in.
pub(super) async fn run(driver: rc::Rc<driver::Driver>) {
    let mut alone = 0;
    let mut period = tokio::time::interval(PERIOD);
    period.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = driver.stopped() => return,
        }
        alone = if driver.is_led() { 0 } else { alone + 1 };
        let patient = driver.group().is_some() && alone <= PATIENCE;
        if alone == 0 || patient || driver.place().seeds().is_empty() {
            continue;
        }
        tokio::select! {
            () = ask_all(&driver) => {}
            () = driver.stopped() => return,
        }
    }
}

/// Tells every replica known, and those that they name.
async fn ask_all(driver: &driver::Driver) {
    let mut asked = BTreeSet::from([driver.place().own()]);
    let mut asks = FuturesUnordered::new();
    loop {
        let known = driver.known_addrs();
        let known = known.iter().filter_map(|addr| addr.parse().ok());
        for addr in known.chain(driver.place().seeds()) {
            if asked.insert(addr) {
                asks.push(tokio::time::timeout(ANSWER_TIMEOUT, ask(driver, addr)));
            }
        }
        if asks.next().await.is_none() {
            return;
        }
    }
}

/// Tells one replica, and takes note of the members it knows.
async fn ask(driver: &driver::Driver, addr: net::SocketAddr) {
    let Ok(mut session) = peer::Session::open(driver, addr).await else { return };
    let own = driver.place().own().to_string();
    session.sender.send(&wire::peer::ClientMessage::RequestAdmission(own)).await;
    if let Some(wire::peer::ServerMessage::Members(members)) = session.receiver.receive().await {
        driver.place().hear(&members);
    }
}
