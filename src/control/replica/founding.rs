//! The founding of a group, which must happen once.
//!
//! The founding member with the lowest number founds. It asks every other founding member, and
//! founds only if all answer and none belongs to another group. Each of them, and the founder
//! first, durably joins the new group before its first entry is written; a store joins one group
//! for good. `docs/LOG.md` argues why this can't found two groups.

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

/// The pause between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// How long the answer to a request to join may take.
const JOIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Why one try to found has not led to a group.
enum Failure {
    /// A founding member can't be reached; try again.
    Waits(String),
    /// A founding member belongs to another group.
    OtherGroup(String),
}

/// Founds the group if that is this replica's part.
pub(super) async fn run(driver: rc::Rc<driver::Driver>, founders: Vec<Peer>) {
    let me = driver.id().replica.0;
    if founders.iter().map(|peer| peer.replica).min() != Some(me) {
        return;
    }
    let mut complaint = String::new();
    while driver.last() == ids::LogIndex(0) {
        let tried = tokio::select! {
            tried = found(&driver, &founders) => tried,
            () = driver.stopped() => return,
        };
        match tried {
            Ok(()) => {
                event::store::FOUNDED.log(format_args!("members={}", founders.len()));
                return;
            }
            Err(Failure::OtherGroup(detail)) => {
                event::store::NOT_MEMBER.log(format_args!("{detail}"));
                return;
            }
            Err(Failure::Waits(detail)) => {
                if complaint != detail {
                    event::store::FOUNDING_WAITS.log(format_args!("{detail}"));
                    complaint = detail;
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
            () = driver.stopped() => return,
        }
    }
}

async fn found(driver: &driver::Driver, founders: &[Peer]) -> Result<(), Failure> {
    let me = driver.id();
    let mut sessions = Vec::new();
    let mut members = Vec::new();
    for founder in founders {
        let addr = founder.addr.to_string();
        if founder.replica == me.replica.0 {
            members.push(entry::Member { id: me, addr, voter: true });
            continue;
        }
        let session = greet(driver, founder).await?;
        members.push(entry::Member { id: session.hello.id.into(), addr, voter: true });
        sessions.push(session);
    }
    let group = choose(driver).await?;
    for session in &mut sessions {
        join(session, group).await?;
    }
    driver.push(message::Input::Bootstrap(entry::Membership::new(members)));
    Ok(())
}

/// Opens a session with a founding member that belongs to no other group.
async fn greet(driver: &driver::Driver, founder: &Peer) -> Result<peer::Session, Failure> {
    let session = match peer::Session::open(driver, founder.addr).await {
        Ok(session) => session,
        Err(peer::HelloError::Unreachable(detail) | peer::HelloError::Wrong(detail)) => {
            return Err(Failure::Waits(detail));
        }
    };
    if session.hello.id.replica != founder.replica {
        let found = session.hello.id.replica;
        let detail = format!("{} is replica {found}, not {}", founder.addr, founder.replica);
        return Err(Failure::Waits(detail));
    }
    let own = driver.group().map(|group| group.0);
    match session.hello.group {
        Some(group) if own != Some(group) => Err(other_group(founder.replica, group)),
        _ => Ok(session),
    }
}

/// The group to found: durable here before anybody else hears of it.
async fn choose(driver: &driver::Driver) -> Result<ids::GroupKey, Failure> {
    let fresh = random_u128().map_err(|error| Failure::Waits(error.to_string()))?;
    driver.push(message::Input::JoinGroup(ids::GroupKey(fresh)));
    driver.until(|driver| driver.group().is_some()).await;
    driver.group().ok_or_else(|| Failure::Waits("stopping".to_owned()))
}

async fn join(session: &mut peer::Session, group: ids::GroupKey) -> Result<(), Failure> {
    let replica = session.hello.id.replica;
    session.sender.send(&wire::peer::ClientMessage::Join(group.0)).await;
    let answer = tokio::time::timeout(JOIN_TIMEOUT, session.receiver.receive()).await;
    match answer {
        Ok(Some(wire::peer::ServerMessage::Joined(joined))) if joined == group.0 => Ok(()),
        Ok(Some(wire::peer::ServerMessage::Joined(joined))) => Err(other_group(replica, joined)),
        _ => Err(Failure::Waits(format!("replica {replica} does not answer"))),
    }
}

fn other_group(replica: u64, group: u128) -> Failure {
    Failure::OtherGroup(format!("replica {replica} belongs to group {group:032x}"))
}
