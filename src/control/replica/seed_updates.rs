//! Sends the addresses of the members to the seeds.
//!
//! A process that starts knows only its seeds, and these may be hosts that store nothing across a
//! restart. The members have each other's addresses in the log, so they can supply them.

use std::collections::BTreeSet;
use std::net;
use std::rc;
use std::time;

use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt as _;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::wire;

/// Interval of the updates, the longest time for which a restarted seed knows no member.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Time that a seed may take to confirm an update.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Updates the seeds that aren't members whenever this replica leads or hears from a leader.
pub(super) async fn run(driver: rc::Rc<driver::Driver>) {
    let mut updates = FuturesUnordered::new();
    let mut in_flight = BTreeSet::new();
    loop {
        let round = async {
            driver.wait_until(driver::Driver::is_led).await;
            let members = driver.member_addrs();
            for addr in driver.addresses().seeds() {
                if !members.contains(&addr.to_string()) && in_flight.insert(addr) {
                    updates.push(send_members(&driver, addr, members.clone()));
                }
            }
            // A seed that does not respond must not delay the others.
            let mut interval = std::pin::pin!(tokio::time::sleep(UPDATE_INTERVAL));
            loop {
                tokio::select! {
                    Some(addr) = updates.next() => in_flight.remove(&addr),
                    () = &mut interval => return,
                };
            }
        };
        tokio::select! {
            () = round => {}
            () = driver.stopped() => return,
        }
    }
}

/// Sends the addresses of the members to one seed and returns the seed's address, also if the seed
/// does not respond; the next round tries again.
async fn send_members(
    driver: &driver::Driver,
    addr: net::SocketAddr,
    members: Vec<String>,
) -> net::SocketAddr {
    if let Ok(mut session) = peer::Session::open(driver, addr).await {
        session.sender.send(&wire::peer::ClientMessage::Members(members)).await;
        let _ = tokio::time::timeout(CONFIRMATION_TIMEOUT, session.receiver.receive()).await;
    }
    addr
}
