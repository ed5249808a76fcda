//! Tests of the supervision of a replica that can't continue.

use std::cell;
use std::error;
use std::future;
use std::net;
use std::rc;
use std::time;

use futures_util::future::LocalBoxFuture;
use hemlockcleat::control;
use hemlockcleat::control::supervisor;
use hemlockcleat::settings;

use crate::support;

/// The opened and stopped services, in order.
type Calls = rc::Rc<cell::RefCell<Vec<&'static str>>>;

/// A service that fails at once, or never.
struct FakeService {
    fails: bool,
    calls: Calls,
}

impl supervisor::Supervised for FakeService {
    fn failed(&self) -> LocalBoxFuture<'_, String> {
        match self.fails {
            true => Box::pin(future::ready("no room".to_owned())),
            false => Box::pin(future::pending()),
        }
    }

    fn stop(self: Box<Self>) -> LocalBoxFuture<'static, ()> {
        self.calls.borrow_mut().push("stopped");
        Box::pin(future::ready(()))
    }
}

/// The result of an attempt to open the service.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OpenResult {
    Refused,
    Fails,
    Runs,
}

/// Supervises a service whose attempts to open have the given results, until the last one runs.
/// Returns the recorded calls and the result of the supervision.
async fn run_attempts(attempts: &'static [OpenResult]) -> (Vec<&'static str>, Result<(), String>) {
    let calls = Calls::default();
    let next = cell::Cell::new(0);
    let (running_sender, running) = tokio::sync::oneshot::channel();
    let running_sender = cell::Cell::new(Some(running_sender));
    let open = || {
        let result = attempts[next.get()];
        next.set(next.get() + 1);
        if result == OpenResult::Runs {
            let sender = running_sender.take().expect("one attempt that runs");
            let _ = sender.send(());
        }
        let calls = calls.clone();
        async move {
            if result == OpenResult::Refused {
                return Err(Box::<dyn error::Error>::from("disk full"));
            }
            calls.borrow_mut().push("opened");
            Ok(Box::new(FakeService { fails: result == OpenResult::Fails, calls })
                as Box<dyn supervisor::Supervised>)
        }
    };
    let stopped = async {
        let _ = running.await;
        Ok(())
    };
    let ended =
        tokio::time::timeout(time::Duration::from_secs(20), supervisor::supervise(open, stopped))
            .await;
    let ended = ended.expect("an end").map_err(|error| error.to_string());
    (calls.take(), ended)
}

#[test]
fn failed_replica_is_reopened() {
    support::run(async {
        let (calls, ended) =
            run_attempts(&[OpenResult::Fails, OpenResult::Refused, OpenResult::Runs]).await;
        assert_eq!(calls, ["opened", "stopped", "opened", "stopped"]);
        assert_eq!(ended, Ok(()));
    });
}

#[test]
fn replica_that_never_opened_ends_the_process() {
    support::run(async {
        let (calls, ended) = run_attempts(&[OpenResult::Refused]).await;
        assert!(calls.is_empty());
        assert_eq!(ended, Err("disk full".to_owned()));
    });
}

/// A replica has to start once a port that was in use is free again. A failed start must leave
/// nothing behind that locks the data folder or occupies the other port.
#[rstest::rstest]
#[case::peers(true)]
#[case::metrics(false)]
fn taken_port_is_tried_again(#[case] peers: bool) {
    support::run(async move {
        let folder = tempfile::tempdir().expect("a folder");
        let free = || net::TcpListener::bind((support::own_host(), 0)).expect("a port");
        let (listen, http) = (free(), free());
        let addr = |listener: &net::TcpListener| listener.local_addr().expect("an address");
        let text = serde_json::json!({
            "replica": 1,
            "data_center": "dc1",
            "data_folder": folder.path(),
            "listen": addr(&listen),
            "http": addr(&http),
            "peers": [{"replica": 1, "addr": addr(&listen)}],
        });
        let settings: settings::control::Settings =
            settings::parse(&text.to_string()).expect("settings");
        let (taken, other) = if peers { (listen, http) } else { (http, listen) };
        drop(other);
        let refused = control::Control::start(settings.clone()).await.err();
        assert!(matches!(refused, Some(control::Error::Listen(..))), "{refused:?}");
        drop(taken);
        let deadline = time::Instant::now() + time::Duration::from_secs(20);
        let started = loop {
            match control::Control::start(settings.clone()).await {
                // A child process that another test has forked may inherit the socket until it
                // executes its program.
                Err(control::Error::Listen(..)) if time::Instant::now() < deadline => {
                    tokio::time::sleep(time::Duration::from_millis(2)).await;
                }
                started => break started,
            }
        };
        started.unwrap_or_else(|error| panic!("{error}")).stop().await;
    });
}
