//! What a process does with a replica that can't go on.

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

/// What happened, in order.
type Story = rc::Rc<cell::RefCell<Vec<&'static str>>>;

/// Fails at once, or never.
struct Part {
    fails: bool,
    story: Story,
}

impl supervisor::Supervised for Part {
    fn failed(&self) -> LocalBoxFuture<'_, String> {
        match self.fails {
            true => Box::pin(future::ready("no room".to_owned())),
            false => Box::pin(future::pending()),
        }
    }

    fn stop(self: Box<Self>) -> LocalBoxFuture<'static, ()> {
        self.story.borrow_mut().push("stopped");
        Box::pin(future::ready(()))
    }
}

/// What a try to open comes to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Try {
    Refused,
    Fails,
    Runs,
}

/// Keeps what opens by this script, until the last try runs.
async fn play(tries: &'static [Try]) -> (Vec<&'static str>, Result<(), String>) {
    let story = Story::default();
    let next = cell::Cell::new(0);
    let (runs, running) = tokio::sync::oneshot::channel();
    let runs = cell::Cell::new(Some(runs));
    let open = || {
        let tried = tries[next.get()];
        next.set(next.get() + 1);
        if tried == Try::Runs {
            let runs = runs.take().expect("one try that runs");
            let _ = runs.send(());
        }
        let story = story.clone();
        async move {
            if tried == Try::Refused {
                return Err(Box::<dyn error::Error>::from("disk full"));
            }
            story.borrow_mut().push("opened");
            Ok(Box::new(Part { fails: tried == Try::Fails, story })
                as Box<dyn supervisor::Supervised>)
        }
    };
    let stopped = async {
        let _ = running.await;
        Ok(())
    };
    let kept =
        tokio::time::timeout(time::Duration::from_secs(20), supervisor::supervise(open, stopped))
            .await;
    let ended = kept.expect("an end").map_err(|error| error.to_string());
    (story.take(), ended)
}

#[test]
fn failed_replica_is_opened_afresh() {
    support::run(async {
        let (story, ended) = play(&[Try::Fails, Try::Refused, Try::Runs]).await;
        assert_eq!(story, ["opened", "stopped", "opened", "stopped"]);
        assert_eq!(ended, Ok(()));
    });
}

#[test]
fn replica_that_never_opened_ends_the_process() {
    support::run(async {
        let (story, ended) = play(&[Try::Refused]).await;
        assert!(story.is_empty());
        assert_eq!(ended, Err("disk full".to_owned()));
    });
}

/// A port that is taken for a while must cost no more than a try: what a failed start leaves behind
/// would hold the folder, or the other port, for good.
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
        let give_up = time::Instant::now() + time::Duration::from_secs(20);
        let started = loop {
            match control::Control::start(settings.clone()).await {
                // A child process that another test is about to start holds a copy of the port.
                Err(control::Error::Listen(..)) if time::Instant::now() < give_up => {
                    tokio::time::sleep(time::Duration::from_millis(2)).await;
                }
                started => break started,
            }
        };
        started.unwrap_or_else(|error| panic!("{error}")).stop().await;
    });
}
