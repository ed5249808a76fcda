//! Members tell the seeds where the replicas are.
//!
//! A process that starts knows seeds only, and these may be hosts that keep nothing over a restart.
//! The members have one another's addresses in the log, so they are the ones who can pass them on.

use std::net;
use std::rc;
use std::time;

use futures_util::future;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::wire;

/// How often a seed is told: a seed that restarts knows nobody for as long at most.
const PERIOD: time::Duration = time::Duration::from_millis(1000);

/// How long a seed may take to confirm.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Tells the seeds that are no members, from the moment on in which a leader counts this replica in.
pub(super) async fn run(driver: rc::Rc<driver::Driver>) {
    loop {
        let told = async {
            driver.until(driver::Driver::is_led).await;
            let members = driver.member_addrs();
            let is_member = |addr: &net::SocketAddr| members.contains(&addr.to_string());
            let seeds = driver.place().seeds().into_iter().filter(|addr| !is_member(addr));
            future::join_all(seeds.map(|addr| tell(&driver, addr, members.clone()))).await;
            tokio::time::sleep(PERIOD).await;
        };
        tokio::select! {
            () = told => {}
            () = driver.stopped() => return,
        }
    }
}

/// Tells one seed; one that does not answer is told again with the next round.
async fn tell(driver: &driver::Driver, addr: net::SocketAddr, members: Vec<String>) {
    let Ok(mut session) = peer::Session::open(driver, addr).await else { return };
    session.sender.send(&wire::peer::Up::Members(members)).await;
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, session.receiver.receive()).await;
}
