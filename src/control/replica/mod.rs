//! A replica of one, in memory, until the replicated log takes its place.

use std::cell;
use std::rc;

use futures_util::future;
use quick_error::quick_error;

use crate::control::machine;
use crate::core::ids;
use crate::net::stream;
use crate::settings;

quick_error! {
    /// Why the replica could not start.
    #[derive(Debug)]
    pub enum Error {
        /// The data folder can't be used.
        Folder(detail: String) {
            display("data folder: {}", detail)
        }
    }
}

/// The replica.
pub struct Replica {
    machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
    index: cell::Cell<u64>,
}

impl Replica {
    /// Leads at once.
    pub async fn start(
        _settings: &settings::control::Settings,
        machine: rc::Rc<cell::RefCell<dyn machine::Machine>>,
    ) -> Result<rc::Rc<Self>, Error> {
        machine.borrow_mut().role(machine::Role::Leader(ids::Term(1)));
        Ok(rc::Rc::new(Self { machine, index: cell::Cell::new(0) }))
    }

    /// Stops.
    pub async fn stop(&self) {}

    /// Serves a peer's stream.
    pub fn handle_peer(&self, _: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(future::ready(()))
    }
}

type Reply<T> = future::LocalBoxFuture<'static, Result<T, machine::ProposeError>>;

impl machine::Log for Replica {
    fn propose(&self, entry: Vec<u8>) -> Reply<Vec<u8>> {
        self.index.set(self.index.get() + 1);
        let index = ids::LogIndex(self.index.get());
        let answer = self.machine.borrow_mut().apply(index, &entry);
        Box::pin(future::ready(Ok(answer)))
    }

    fn barrier(&self) -> Reply<()> {
        Box::pin(future::ready(Ok(())))
    }

    fn leads(&self) -> bool {
        true
    }

    fn view(&self) -> machine::GroupView {
        machine::GroupView {
            role: machine::Role::Leader(ids::Term(1)),
            term: ids::Term(1),
            committed: ids::LogIndex(self.index.get()),
            peers: Vec::new(),
        }
    }

    fn reconfigure(&self, _: Vec<(ids::ReplicaKey, String)>) -> Reply<()> {
        Box::pin(future::ready(Ok(())))
    }

    fn hand_over(&self) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(future::ready(()))
    }
}
