//! One replica of the replicated log: the pure core with its disk, sockets and timers.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::control::machine;
use crate::core::consensus;
use crate::core::consensus::message;
use crate::core::consensus::replica;
use crate::core::ids;
use crate::net::seeds;
use crate::net::stream;
use crate::settings::control::Settings;
use crate::store;
use crate::store::disk;
use crate::store::folder;
use crate::telemetry::event;

mod announcing;
mod calls;
mod candidates;
mod driver;
mod founding;
mod joining;
mod peer;
mod place;
mod writer;

/// How long [`Replica::transfer_leadership`](machine::Log::transfer_leadership) waits at most.
const HAND_OVER_WAIT: time::Duration = time::Duration::from_millis(1500);

quick_error! {
    /// Why a replica can't start.
    #[derive(Debug)]
    pub enum Error {
        /// The data folder can't be used.
        Store(source: store::Error) {
            display("the data folder can't be used: {}", source)
            source(source)
            from()
        }
        /// The system gives no random numbers.
        Random(source: getrandom::Error) {
            display("no random numbers: {}", source)
            from()
        }
    }
}

/// What tests and measurements may vary; programs use the default.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether entries that wait share an append and a sync.
    pub grouped: bool,
    /// The rules in force.
    pub rules: consensus::SafetyRules,
}

impl Default for Options {
    fn default() -> Self {
        Self { grouped: true, rules: consensus::SafetyRules::ALL }
    }
}

/// One replica of the replicated log.
pub struct Replica {
    inner: rc::Rc<driver::Driver>,
    tasks: cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

impl Replica {
    /// Opens the data folder, restores the machine and takes up the replica's place in its group,
    /// or founds the group. The seeds in force are given besides, since they may be exchanged.
    pub async fn start(
        settings: &Settings,
        seeds: seeds::Seeds,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
    ) -> Result<rc::Rc<Self>, Error> {
        let folder = settings.data_folder.clone();
        let opened = tokio::task::spawn_blocking(|| disk::LockedFolder::create(folder)).await;
        let disk = match opened {
            Ok(Ok(folder)) => sync::Arc::new(folder),
            Ok(Err(error)) => return Err(refuse(error).into()),
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        };
        Self::open(settings, seeds, machine, disk, Options::default()).await
    }

    /// Like [`Replica::start`] with the seeds of the settings, on any disk.
    pub async fn start_with(
        settings: &Settings,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
        disk: sync::Arc<dyn disk::Disk>,
        options: Options,
    ) -> Result<rc::Rc<Self>, Error> {
        let seeds = seeds::Seeds::from(settings.seeds.clone());
        Self::open(settings, seeds, machine, disk, options).await
    }

    async fn open(
        settings: &Settings,
        seeds: seeds::Seeds,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
        disk: sync::Arc<dyn disk::Disk>,
        options: Options,
    ) -> Result<rc::Rc<Self>, Error> {
        let replica = ids::ReplicaKey(settings.replica);
        let fresh = ids::StoreKey(random_u128()?);
        let shared = disk.clone();
        let open = move || folder::Store::open(shared, replica, fresh);
        let (store, loaded) = match tokio::task::spawn_blocking(open).await {
            Ok(result) => result.map_err(refuse)?,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        };
        event::store::OPENED.log(format_args!(
            "replica={} store={:032x} entries={}",
            loaded.id.replica,
            loaded.id.store.0,
            loaded.entries.len()
        ));
        if loaded.torn_bytes > 0 {
            event::store::TAIL_CUT.log(format_args!("bytes={}", loaded.torn_bytes));
        }
        if let Some((_, bytes)) = &loaded.snapshot {
            machine.borrow_mut().restore(bytes);
        }
        let boot = replica::InitialState {
            id: loaded.id,
            hard_state: loaded.hard_state,
            snapshot: loaded.snapshot.map(|(snapshot, _)| snapshot),
            entries: loaded.entries,
            seed: random_u128()? as u64,
            rules: options.rules,
        };
        let place = place::Place::new(settings, seeds);
        let (inner, done) = driver::Driver::new(boot, store, disk, options, machine, place);
        let tasks = vec![
            actix_rt::spawn(driver::run(inner.clone(), done)),
            actix_rt::spawn(founding::run(inner.clone(), settings.peers.clone())),
            actix_rt::spawn(joining::run(inner.clone())),
            actix_rt::spawn(announcing::run(inner.clone())),
        ];
        Ok(rc::Rc::new(Self { inner, tasks: cell::RefCell::new(tasks) }))
    }

    /// Serves a stream that a peer has opened on `/peer`, until either side ends it.
    pub fn handle_peer(&self, incoming: stream::Incoming) -> LocalBoxFuture<'static, ()> {
        Box::pin(peer::serve(self.inner.clone(), incoming))
    }

    /// Resolves if the disk fails, with the cause; the process must then end with a failure.
    pub async fn failed(&self) -> String {
        self.inner.failed().await
    }

    /// Ends all that was started and waits for it. What was accepted is synced first.
    pub async fn stop(&self) {
        self.inner.stop();
        let tasks = self.tasks.take();
        for task in tasks {
            let _ = task.await;
        }
        for link in self.inner.take_links() {
            link.stop().await;
        }
        if let Some(writer) = self.inner.take_writer() {
            writer.stop().await;
        }
    }
}

impl machine::Log for Replica {
    fn propose(
        &self,
        entry: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, machine::ProposeError>> {
        answer(self.inner.propose(Bytes::from(entry)))
    }

    fn barrier(&self) -> LocalBoxFuture<'static, Result<(), machine::ProposeError>> {
        answer(self.inner.read())
    }

    fn leads(&self) -> bool {
        self.inner.leads()
    }

    fn view(&self) -> machine::GroupView {
        self.inner.view()
    }

    fn replicas(&self) -> Vec<String> {
        self.inner.known_addrs()
    }

    fn reconfigure(
        &self,
        replicas: Vec<(ids::ReplicaKey, String)>,
    ) -> LocalBoxFuture<'static, Result<(), machine::ProposeError>> {
        let inner = self.inner.clone();
        Box::pin(async move {
            let targets = peer::find(&inner, replicas).await;
            loop {
                let voters = inner.voters();
                let Some(answered) = inner.reconfigure(&targets) else { return Ok(()) };
                answer(answered).await?;
                // While a dropped voter has no successor, the group bears less than before.
                if inner.voters() >= voters {
                    return Ok(());
                }
            }
        })
    }

    fn transfer_leadership(&self) -> LocalBoxFuture<'static, ()> {
        let inner = self.inner.clone();
        Box::pin(async move {
            inner.push(message::Input::TransferLeadership);
            // The heir has to hear of it before the links close.
            let handed = async {
                inner.stood_down().await;
                inner.succeeded().await;
            };
            let _ = tokio::time::timeout(HAND_OVER_WAIT, handed).await;
        })
    }
}

/// Waits for an answer; a replica that ends leaves the outcome open.
fn answer<T: 'static>(
    answered: calls::Answered<T>,
) -> LocalBoxFuture<'static, Result<T, machine::ProposeError>> {
    Box::pin(async move { answered.await.unwrap_or(Err(machine::ProposeError::Unknown)) })
}

fn refuse(error: store::Error) -> store::Error {
    event::store::REFUSED.log(format_args!("{error}"));
    error
}

fn random_u128() -> Result<u128, getrandom::Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes)?;
    Ok(u128::from_le_bytes(bytes))
}
