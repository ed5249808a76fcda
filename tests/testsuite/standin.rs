//! Conformance of the stand-in to the contract of `docs/BACKEND.md`. Results of tests that use the
//! stand-in hold for real backend servers only if it conforms.

use std::net;
use std::time;

use hemlockcleat::standin;
use hemlockcleat::standin::options;
use hemlockcleat::standin::record;
use rstest::rstest;

use crate::support;
use crate::support::http_client;

/// The fencing token of the leases that [`Fixture`] grants.
const FENCE: u64 = 5;

/// A run time longer than any test waits, in milliseconds.
const LONG_RUN_MS: u64 = 600_000;

/// A stand-in whose agent replies to each announcement with the same lease.
struct Fixture {
    agent: hemlockcleat::net::http::Server,
    standin: standin::Standin,
}

struct FixedLease(u64);

impl hemlockcleat::net::http::Handler for FixedLease {
    fn handle(
        &self,
        _request: hemlockcleat::net::http::Request,
    ) -> futures_util::future::LocalBoxFuture<'static, hemlockcleat::net::http::Response> {
        let body = format!(r#"{{"fence":{FENCE},"lease_ms":{},"repeat_ms":100}}"#, self.0);
        Box::pin(async move {
            let mut builder = actix_http::Response::build(actix_http::StatusCode::OK);
            builder.content_type("application/json").body(body).map_into_boxed_body()
        })
    }
}

impl Fixture {
    async fn start(lease_ms: u64) -> Self {
        let addr = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = std::rc::Rc::new(FixedLease(lease_ms));
        let limits = hemlockcleat::net::http::Limits::default();
        let agent =
            hemlockcleat::net::http::Server::bind(addr, limits, handler).await.expect("a port");
        let options = options::Options::new(agent.addr(), "w1", "r1");
        let standin = standin::Standin::start(options).await.expect("a stand-in");
        Self { agent, standin }
    }

    async fn send(&self, method: &str, path: &str, body: &str) -> http_client::Reply {
        http_client::send(self.standin.addr(), method, path, "", body).await
    }

    async fn start_task(&self, task: &str, fence: u64, run_ms: u64) -> http_client::Reply {
        let path = format!(
            "/tasks/{task}?service=booking&kind=round&key=a%20b&gang=1&accelerators=1\
             &answer_limit=100&fence={fence}"
        );
        self.send("PUT", &path, &format!(r#"{{"run_ms":{run_ms}}}"#)).await
    }

    /// Starts a task, and retries until the stand-in has a lease.
    async fn start_leased(&self, task: &str, run_ms: u64) {
        let begin = time::Instant::now();
        while self.start_task(task, FENCE, run_ms).await.status != 200 {
            assert!(begin.elapsed() < time::Duration::from_secs(10), "the lease never comes");
        }
    }

    async fn state(&self, task: &str) -> String {
        let reply = self.send("GET", &format!("/tasks/{task}?wait=5000"), "").await;
        assert_eq!(reply.header("hemlockcleat-task"), Some(task));
        reply.json()["state"].as_str().expect("a state").to_owned()
    }

    async fn stop(self) {
        self.standin.stop().await;
        self.agent.stop(time::Duration::ZERO).await;
    }
}

#[test]
fn start_repeated_runs_once() {
    support::run(async {
        let fixture = Fixture::start(3000).await;
        fixture.start_leased("7.1.0", 10).await;
        assert_eq!(fixture.start_task("7.1.0", FENCE, 10).await.status, 200);
        assert_eq!(fixture.state("7.1.0").await, "done");
        assert_eq!(fixture.start_task("7.1.0", FENCE, 10).await.json()["state"], "done");
        let runs = fixture.standin.record();
        assert_eq!((runs.len(), runs[0].key.as_str()), (1, "a b"));
        fixture.stop().await;
    });
}

#[rstest]
#[case::no_lease(0, "7.1.0", FENCE, "no-lease")]
#[case::other_fence(3000, "7.1.0", FENCE + 1, "no-lease")]
#[case::stopped_before(3000, "7.1.9", FENCE, "stopped")]
fn start_refused(
    #[case] lease_ms: u64,
    #[case] task: &str,
    #[case] fence: u64,
    #[case] error: &str,
) {
    support::run(async {
        let fixture = Fixture::start(lease_ms).await;
        if lease_ms > 0 {
            fixture.start_leased("1.1.0", 10).await;
        }
        assert_eq!(fixture.send("POST", "/tasks/7.1.9/stop", "").await.status, 404);
        let reply = fixture.start_task(task, fence, 10).await;
        assert_eq!((reply.status, reply.json()["error"].as_str()), (409, Some(error)));
        assert_eq!(reply.header("hemlockcleat-task"), Some(task));
        fixture.stop().await;
    });
}

#[rstest]
#[case::stop("stop", record::End::Stopped)]
#[case::checkpoint("checkpoint?grace=1000", record::End::Checkpointed)]
fn order_ends_task(#[case] order: &str, #[case] end: record::End) {
    support::run(async {
        let fixture = Fixture::start(3000).await;
        fixture.start_leased("7.1.0", LONG_RUN_MS).await;
        fixture.send("POST", &format!("/tasks/7.1.0/{order}"), "").await;
        assert_eq!(fixture.state("7.1.0").await, "stopped");
        assert_eq!(fixture.standin.record()[0].end, Some(end));
        assert_eq!(fixture.send("GET", "/tasks/7.1.0/answer", "").await.status, 404);
        fixture.stop().await;
    });
}

#[test]
fn throttle_slows_and_delete_removes() {
    support::run(async {
        let fixture = Fixture::start(3000).await;
        fixture.start_leased("7.1.0", 300).await;
        fixture.send("POST", "/tasks/7.1.0/throttle?percent=25", "").await;
        // A running task can't be deleted.
        fixture.send("DELETE", "/tasks/7.1.0", "").await;
        assert_eq!(fixture.send("GET", "/tasks", "").await.json()["tasks"][0], "7.1.0");
        assert_eq!(fixture.state("7.1.0").await, "done");
        let run = &fixture.standin.record()[0];
        assert!(run.ended.expect("an end") - run.started >= 900, "{run:?}");
        assert_eq!(fixture.send("DELETE", "/tasks/7.1.0", "").await.status, 204);
        assert_eq!(fixture.send("GET", "/tasks/7.1.0", "").await.status, 404);
        fixture.stop().await;
    });
}

#[rstest]
#[case::no_query("PUT", "/tasks/7.1.0", 400)]
#[case::bad_number("PUT", "/tasks/7.1.0?service=a&kind=b&key=c&gang=x", 400)]
#[case::bad_task("GET", "/tasks/7.1", 400)]
#[case::leading_zero("GET", "/tasks/07.1.0", 400)]
#[case::overflow("GET", "/tasks/7.1.4294967296", 400)]
#[case::unknown_order("POST", "/tasks/7.1.0/dance", 404)]
#[case::unknown_path("GET", "/", 404)]
#[case::bad_switch("PUT", "/switches", 400)]
fn request_malformed(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    support::run(async {
        let fixture = Fixture::start(3000).await;
        assert_eq!(fixture.send(method, path, r#"{"colour":"red"}"#).await.status, status);
        assert!(fixture.standin.record().is_empty());
        fixture.stop().await;
    });
}
