//! Bootstrap of a group, which must happen only once.
//!
//! The founding member with the lowest number founds the group. It contacts every other founding
//! member and goes on only if all respond and none belongs to another group. Each founding member,
//! the founder first, durably joins the new group before the group's first entry is written; a store
//! never leaves the group that it has joined. `docs/LOG.md` shows that two groups can't be founded.

use std::rc;
use std::time;

use crate::control::replica::driver;
use crate::control::replica::peer;
use crate::control::replica::random_u128;
use crate::core::consensus::entry;
use crate::core::consensus::message;
use crate::core::ids;
use crate::settings::control::Peer;
use crate::telemetry::event;
use crate::wire;

/// Delay between two attempts.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time that a founding member may take to join the group.
const JOIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Why an attempt to found the group has failed.
enum Failure {
    /// A founding member can't be reached or has not responded; the attempt is to be repeated.
    Retry(String),
    /// A founding member belongs to another group.
    OtherGroup(String),
}

/// Founds the group if this replica has the lowest number of the founding members.
pub(super) async fn run(driver: rc::Rc<driver::Driver>, founders: Vec<Peer>) {
    let me = driver.id().replica.0;
    if founders.iter().map(|peer| peer.replica).min() != Some(me) {
        return;
    }
    let mut last_error = String::new();
    while driver.last() == ids::LogIndex(0) {
        let result = tokio::select! {
            result = bootstrap(&driver, &founders) => result,
            () = driver.stopped() => return,
        };
        match result {
            Ok(()) => {
                event::store::BOOTSTRAPPED.log(format_args!("members={}", founders.len()));
                return;
            }
            Err(Failure::OtherGroup(detail)) => {
                event::store::NOT_MEMBER.log(format_args!("{detail}"));
                return;
            }
            Err(Failure::Retry(detail)) => {
                if last_error != detail {
                    event::store::BOOTSTRAP_WAITING.log(format_args!("{detail}"));
                    last_error = detail;
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(RETRY_INTERVAL) => {}
            () = driver.stopped() => return,
        }
    }
}

async fn bootstrap(driver: &driver::Driver, founders: &[Peer]) -> Result<(), Failure> {
    let me = driver.id();
    let mut sessions = Vec::new();
    let mut members = Vec::new();
    for founder in founders {
        let addr = founder.addr.to_string();
        if founder.replica == me.replica.0 {
            members.push(entry::Member { id: me, addr, voter: true });
            continue;
        }
        let session = open_session(driver, founder).await?;
        members.push(entry::Member { id: session.hello.id.into(), addr, voter: true });
        sessions.push(session);
    }
    let group = choose_group(driver).await?;
    for session in &mut sessions {
        join(session, group).await?;
    }
    driver.push(message::Input::Bootstrap(entry::Membership::new(members)));
    Ok(())
}

/// Opens a session with a founding member that belongs to no other group.
async fn open_session(driver: &driver::Driver, founder: &Peer) -> Result<peer::Session, Failure> {
    let session = match peer::Session::open(driver, founder.addr).await {
        Ok(session) => session,
        Err(peer::HelloError::Unreachable(detail) | peer::HelloError::Rejected(detail)) => {
            return Err(Failure::Retry(detail));
        }
    };
    if session.hello.id.replica != founder.replica {
        let found = session.hello.id.replica;
        let detail = format!("{} is replica {found}, not {}", founder.addr, founder.replica);
        return Err(Failure::Retry(detail));
    }
    let own = driver.group().map(|group| group.0);
    match session.hello.group {
        Some(group) if own != Some(group) => Err(other_group(founder.replica, group)),
        _ => Ok(session),
    }
}

/// Chooses the key of the group, which is durable here before another member receives it.
async fn choose_group(driver: &driver::Driver) -> Result<ids::GroupKey, Failure> {
    let key = random_u128().map_err(|error| Failure::Retry(error.to_string()))?;
    driver.push(message::Input::JoinGroup(ids::GroupKey(key)));
    driver.wait_until(|driver| driver.group().is_some()).await;
    driver.group().ok_or_else(|| Failure::Retry("stopping".to_owned()))
}

async fn join(session: &mut peer::Session, group: ids::GroupKey) -> Result<(), Failure> {
    let replica = session.hello.id.replica;
    session.sender.send(&wire::peer::ClientMessage::Join(group.0)).await;
    let response = tokio::time::timeout(JOIN_TIMEOUT, session.receiver.receive()).await;
    match response {
        Ok(Some(wire::peer::ServerMessage::Joined(joined))) if joined == group.0 => Ok(()),
        Ok(Some(wire::peer::ServerMessage::Joined(joined))) => Err(other_group(replica, joined)),
        _ => Err(Failure::Retry(format!("replica {replica} does not answer"))),
    }
}

fn other_group(replica: u64, group: u128) -> Failure {
    Failure::OtherGroup(format!("replica {replica} belongs to group {group:032x}"))
}
