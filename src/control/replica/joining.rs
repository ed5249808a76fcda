//! A replica that no leader counts in asks to be admitted.
//!
//! It tells every replica it knows of, from the seeds on, that it is there; each answers with the
//! members it knows. Whoever leads decides whether the group needs it. A new store, a host that
//! takes another's place and a replica that was given up while it was away all come in this way.

use std::collections::BTreeSet;
use std::net;
use std::rc;
use std::time;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::control::replica::place;
use crate::wire;

/// How often it asks.
const PERIOD: time::Duration = time::Duration::from_millis(1000);

/// How long no leader may be known before it asks: elections take less.
const PATIENCE: u32 = 3;

/// How long a replica may take to answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The most addresses it asks at.
const MAX_KNOWN: usize = 32;

/// Asks to be admitted while no leader counts this replica in.
pub(super) async fn run(driver: rc::Rc<driver::Driver>, place: rc::Rc<place::Place>) {
    let mut known = BTreeSet::new();
    let mut alone = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(PERIOD) => {}
            () = driver.stopped() => return,
        }
        alone = if driver.is_led() { 0 } else { alone + 1 };
        let seeds = place.seeds();
        if alone < PATIENCE || seeds.is_empty() {
            continue;
        }
        known.extend(seeds);
        let members = driver.member_addrs();
        known.extend(members.iter().filter_map(|addr| addr.parse::<net::SocketAddr>().ok()));
        let others = known.iter().filter(|addr| **addr != place.own()).take(MAX_KNOWN);
        let asked = futures_util::future::join_all(others.map(|addr| ask(&driver, &place, *addr)));
        let answers = tokio::select! {
            answers = asked => answers,
            () = driver.stopped() => return,
        };
        known.extend(answers.into_iter().flatten());
    }
}

/// Tells one replica, and returns the members it knows.
async fn ask(
    driver: &driver::Driver,
    place: &place::Place,
    addr: net::SocketAddr,
) -> Vec<net::SocketAddr> {
    let Ok(mut session) = peer::Session::open(driver, addr).await else { return Vec::new() };
    session.sender.send(&wire::peer::Up::Candidate(place.own().to_string())).await;
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, session.receiver.receive()).await;
    match answer {
        Ok(Some(wire::peer::Down::Members(addrs))) => {
            addrs.iter().filter_map(|addr| addr.parse().ok()).collect()
        }
        _ => Vec::new(),
    }
}
