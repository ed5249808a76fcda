//! One replica of the replicated log: the consensus core with its disk, sockets and timers.

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

mod addresses;
mod admission;
mod bootstrap;
mod calls;
mod candidates;
mod driver;
mod peer;
mod seed_updates;
mod writer;

/// How long [`Replica::transfer_leadership`](machine::Log::transfer_leadership) waits for another leader at most.
const TRANSFER_WAIT: time::Duration = time::Duration::from_millis(1500);

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
        /// The operating system provides no random numbers.
        Random(source: getrandom::Error) {
            display("the operating system provides no random numbers: {}", source)
            from()
        }
    }
}

/// Options that tests and benchmarks vary; programs use the default.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether waiting entries share an append and a sync.
    pub group_commit: bool,
    /// The safety rules that are enabled.
    pub rules: consensus::SafetyRules,
}

impl Default for Options {
    fn default() -> Self {
        Self { group_commit: true, rules: consensus::SafetyRules::ALL }
    }
}

/// One replica of the replicated log.
pub struct Replica {
    driver: rc::Rc<driver::Driver>,
    tasks: cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

impl Replica {
    /// Opens the data folder, restores the state machine and starts the replica, which rejoins its
    /// group or founds it. `seeds` is used instead of the seeds in the settings, since it may be
    /// updated.
    pub async fn start(
        settings: &Settings,
        seeds: seeds::Seeds,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
    ) -> Result<rc::Rc<Self>, Error> {
        let folder = settings.data_folder.clone();
        let opened = tokio::task::spawn_blocking(|| disk::LockedFolder::create(folder)).await;
        let disk = match opened {
            Ok(Ok(folder)) => sync::Arc::new(folder),
            Ok(Err(error)) => return Err(log_store_error(error).into()),
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        };
        Self::open(settings, seeds, machine, disk, Options::default()).await
    }

    /// Like [`Replica::start`], with the seeds of the settings and on any disk.
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
        let new_store = ids::StoreKey(random_u128()?);
        let shared = disk.clone();
        let open = move || folder::Store::open(shared, replica, new_store);
        let (store, recovered) = match tokio::task::spawn_blocking(open).await {
            Ok(result) => result.map_err(log_store_error)?,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        };
        event::store::OPENED.log(format_args!(
            "replica={} store={:032x} entries={}",
            recovered.id.replica,
            recovered.id.store.0,
            recovered.entries.len()
        ));
        if recovered.torn_bytes > 0 {
            event::store::TORN_WRITE_REMOVED.log(format_args!("bytes={}", recovered.torn_bytes));
        }
        if let Some((_, bytes)) = &recovered.snapshot {
            machine.borrow_mut().restore(bytes);
        }
        let initial = replica::InitialState {
            id: recovered.id,
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot.map(|(snapshot, _)| snapshot),
            entries: recovered.entries,
            seed: random_u128()? as u64,
            rules: options.rules,
        };
        let addresses = addresses::Addresses::new(settings, seeds);
        let (driver, completions) =
            driver::Driver::new(initial, store, disk, options, machine, addresses);
        let tasks = vec![
            actix_rt::spawn(driver::run(driver.clone(), completions)),
            actix_rt::spawn(bootstrap::run(driver.clone(), settings.peers.clone())),
            actix_rt::spawn(admission::run(driver.clone())),
            actix_rt::spawn(seed_updates::run(driver.clone())),
        ];
        Ok(rc::Rc::new(Self { driver, tasks: cell::RefCell::new(tasks) }))
    }

    /// Serves a stream that a peer has opened on `/peer`, until either side ends it.
    pub fn handle_peer(&self, incoming: stream::Incoming) -> LocalBoxFuture<'static, ()> {
        Box::pin(peer::serve(self.driver.clone(), incoming))
    }

    /// Resolves if the disk fails, with the cause; the replica must then be stopped.
    pub async fn failed(&self) -> String {
        self.driver.failed().await
    }

    /// Stops the replica and waits until it has ended. Accepted entries are synced first.
    pub async fn stop(&self) {
        self.driver.stop();
        let tasks = self.tasks.take();
        for task in tasks {
            let _ = task.await;
        }
        for link in self.driver.take_links() {
            link.stop().await;
        }
        if let Some(writer) = self.driver.take_writer() {
            writer.stop().await;
        }
    }
}

impl machine::Log for Replica {
    fn propose(
        &self,
        entry: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, machine::ProposeError>> {
        wait_for_result(self.driver.propose(Bytes::from(entry)))
    }

    fn barrier(&self) -> LocalBoxFuture<'static, Result<(), machine::ProposeError>> {
        wait_for_result(self.driver.read())
    }

    fn leads(&self) -> bool {
        self.driver.leads()
    }

    fn view(&self) -> machine::GroupView {
        self.driver.view()
    }

    fn replicas(&self) -> Vec<String> {
        self.driver.known_addrs()
    }

    fn reconfigure(
        &self,
        replicas: Vec<(ids::ReplicaKey, String)>,
    ) -> LocalBoxFuture<'static, Result<(), machine::ProposeError>> {
        let driver = self.driver.clone();
        Box::pin(async move {
            let targets = peer::resolve_stores(&driver, replicas).await;
            loop {
                let voters = driver.voters();
                let Some(receiver) = driver.reconfigure(&targets) else { return Ok(()) };
                wait_for_result(receiver).await?;
                // A group that has removed a voter and not replaced it tolerates fewer losses.
                if driver.voters() >= voters {
                    return Ok(());
                }
            }
        })
    }

    fn transfer_leadership(&self) -> LocalBoxFuture<'static, ()> {
        let driver = self.driver.clone();
        Box::pin(async move {
            driver.push(message::Input::TransferLeadership);
            // The new leader has to receive the request before the links close.
            let transferred = async {
                driver.stepped_down().await;
                driver.successor_elected().await;
            };
            let _ = tokio::time::timeout(TRANSFER_WAIT, transferred).await;
        })
    }
}

/// Waits for the result of a call, which is unknown if the replica ends first.
fn wait_for_result<T: 'static>(
    receiver: calls::ResultReceiver<T>,
) -> LocalBoxFuture<'static, Result<T, machine::ProposeError>> {
    Box::pin(async move { receiver.await.unwrap_or(Err(machine::ProposeError::Unknown)) })
}

fn log_store_error(error: store::Error) -> store::Error {
    event::store::REFUSED.log(format_args!("{error}"));
    error
}

fn random_u128() -> Result<u128, getrandom::Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes)?;
    Ok(u128::from_le_bytes(bytes))
}
