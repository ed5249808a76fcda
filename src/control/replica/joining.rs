//! A replica that no leader counts in asks to be admitted.
//!
//! It tells every replica it knows of, from the seeds on, that it is there; each answers with the
//! members it knows. Whoever leads decides whether the group needs it. A new store, a host that
//! takes another's place and a replica that was given up while it was away all come in this way.

use std::collections::BTreeSet;
use std::net;
use std::rc;
use std::time;

use futures_util::future;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::wire;

/// How often it asks.
const PERIOD: time::Duration = time::Duration::from_millis(1000);

/// How long no leader may be known before it asks: elections take less.
const PATIENCE: u32 = 3;

/// How long a replica may take to answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Asks to be admitted while no leader counts this replica in.
pub(super) async fn run(driver: rc::Rc<driver::Driver>) {
    let mut alone = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(PERIOD) => {}
            () = driver.stopped() => return,
        }
        alone = if driver.is_led() { 0 } else { alone + 1 };
        let seeds = driver.place().seeds();
        if alone < PATIENCE || seeds.is_empty() {
            continue;
        }
        let known = driver.known_addrs();
        let known = known.iter().filter_map(|addr| addr.parse::<net::SocketAddr>().ok());
        let mut others: BTreeSet<_> = known.chain(seeds).collect();
        others.remove(&driver.place().own());
        let asked = future::join_all(others.into_iter().map(|addr| ask(&driver, addr)));
        tokio::select! {
            _ = asked => {}
            () = driver.stopped() => return,
        }
    }
}

/// Tells one replica, and takes note of the members it knows.
async fn ask(driver: &driver::Driver, addr: net::SocketAddr) {
    let Ok(mut session) = peer::Session::open(driver, addr).await else { return };
    let own = driver.place().own().to_string();
    session.sender.send(&wire::peer::Up::Candidate(own)).await;
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, session.receiver.receive()).await;
    if let Ok(Some(wire::peer::Down::Members(members))) = answer {
        driver.place().hear(&members);
    }
}
