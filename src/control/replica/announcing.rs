//! Members tell the seeds where the replicas are.
//!
//! A process that starts knows seeds only, and these may be hosts that keep nothing over a restart.
//! The members have one another's addresses in the log, so they are the ones who can pass them on.

use std::collections::BTreeSet;
use std::net;
use std::rc;
use std::time;

use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt as _;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::wire;

/// How often a seed is told: a seed that restarts knows nobody for as long at most.
const PERIOD: time::Duration = time::Duration::from_millis(1000);

/// How long a seed may take to confirm.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Tells the seeds that are no members, from the moment on in which a leader counts this replica in.
pub(super) async fn run(driver: rc::Rc<driver::Driver>) {
    let mut tells = FuturesUnordered::new();
    let mut busy = BTreeSet::new();
    loop {
        let round = async {
            driver.until(driver::Driver::is_led).await;
            let members = driver.member_addrs();
            for addr in driver.place().seeds() {
                if !members.contains(&addr.to_string()) && busy.insert(addr) {
                    tells.push(tell(&driver, addr, members.clone()));
                }
            }
            // One seed that does not answer must not hold up the others.
            let mut rest = std::pin::pin!(tokio::time::sleep(PERIOD));
            loop {
                tokio::select! {
                    Some(addr) = tells.next() => busy.remove(&addr),
                    () = &mut rest => return,
                };
            }
        };
        tokio::select! {
            () = round => {}
            () = driver.stopped() => return,
        }
    }
}

/// Tells one seed, and returns it; one that does not answer is told again with the next round.
async fn tell(
    driver: &driver::Driver,
    addr: net::SocketAddr,
    members: Vec<String>,
) -> net::SocketAddr {
    if let Ok(mut session) = peer::Session::open(driver, addr).await {
        session.sender.send(&wire::peer::ClientMessage::Members(members)).await;
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, session.receiver.receive()).await;
    }
    addr
}
