//! The verdict of a gate's call that was sent more than once.

use std::cell;
use std::rc;
use std::time;

use futures_util::future;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;
use hemlockcleat::gate;
use hemlockcleat::net::stream;
use hemlockcleat::wire::gate as wire;

use crate::support;
use crate::support::flow;
use crate::workflow;

/// How long a call may take, with all its repetitions.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// What the leader does with a call.
#[derive(Clone)]
enum Action {
    /// It ends the session without a reply; the call may take effect.
    Lose,
    Reply(wire::Reply),
}

/// A leader that acts on calls as it is told, in turn.
struct Leader(rc::Rc<cell::RefCell<Vec<Action>>>);

impl stream::Handler for Leader {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        let actions = self.0.clone();
        Box::pin(async move {
            let (sender, mut receiver) =
                incoming.split::<wire::ClientMessage, wire::ServerMessage>();
            receiver.receive().await;
            sender.send(&wire::ServerMessage::Welcome(Vec::new())).await;
            while let Some(message) = receiver.receive().await {
                let wire::ClientMessage::Call { id, .. } = message else { continue };
                match actions.borrow_mut().remove(0) {
                    Action::Lose => return,
                    Action::Reply(body) => {
                        sender.try_send(&wire::ServerMessage::Reply { id, body });
                    }
                }
            }
        })
    }
}

/// Returns the result of a call to a leader that acts in this way.
fn call(body: wire::Call, actions: &[Action]) -> Result<wire::Reply, gate::Unanswered> {
    let actions = rc::Rc::new(cell::RefCell::new(actions.to_vec()));
    let left = actions.clone();
    let result = support::run(async move {
        let addr = "127.0.0.1:0".parse().expect("an address");
        let server =
            stream::Server::bind(addr, 4, rc::Rc::new(Leader(actions))).await.expect("a server");
        let link = gate::Link::start(vec![server.addr()], 0);
        let result = link.call(body, CALL_TIMEOUT).await;
        link.stop().await;
        server.stop().await;
        result
    });
    assert_eq!(left.borrow().len(), 0, "the call was sent less often than expected");
    result
}

fn submit() -> wire::Call {
    let workflow =
        model::Workflow { spec: "spec".to_owned(), steps: vec![flow::step(1, 1)], schedule: None };
    wire::Call::Submit(workflow::address(1, "aa"), workflow)
}

fn cancel() -> wire::Call {
    wire::Call::Cancel(workflow::address(1, "aa"))
}

fn show() -> wire::Call {
    wire::Call::Show(workflow::address(1, "aa"))
}

const MAY_HAVE_RUN: gate::Unanswered = gate::Unanswered { sent: true };

/// The first send is in the log, its reply is lost, and the configuration changes before the call
/// is repeated: a refusal would tell the caller that the job doesn't run.
#[rstest::rstest]
#[case::queue_removed(submit(), wire::Reply::NoQueue)]
#[case::credential_withdrawn(submit(), wire::Reply::NoCredential)]
#[case::no_configuration(submit(), wire::Reply::NoConfiguration)]
#[case::no_memory(submit(), wire::Reply::Full(5))]
#[case::cancel_of_a_removed_queue(cancel(), wire::Reply::NoQueue)]
fn call_refused_after_a_lost_reply_may_have_taken_effect(
    #[case] body: wire::Call,
    #[case] refusal: wire::Reply,
    #[values(Action::Lose, Action::Reply(wire::Reply::Undecided(true)))] first: Action,
) {
    let actions = [first, Action::Reply(refusal)];
    assert_eq!(call(body, &actions), Err(MAY_HAVE_RUN));
}

#[rstest::rstest]
#[case::first_send(vec![])]
#[case::leader_without_a_majority(vec![Action::Reply(wire::Reply::Undecided(false))])]
fn call_that_had_no_effect_is_refused(#[case] mut actions: Vec<Action>) {
    actions.push(Action::Reply(wire::Reply::NoQueue));
    assert_eq!(call(submit(), &actions), Ok(wire::Reply::NoQueue));
}

/// An earlier send changes nothing about these replies.
#[rstest::rstest]
#[case::accepted(submit(), wire::Reply::Accepted)]
#[case::invalid(submit(), wire::Reply::Invalid("a detail".to_owned()))]
#[case::cancelled(cancel(), wire::Reply::Cancelled)]
#[case::no_such_job(cancel(), wire::Reply::NoJob)]
#[case::shown(show(), wire::Reply::Job(job::Phase::Running))]
#[case::shown_in_a_removed_queue(show(), wire::Reply::NoQueue)]
fn reply_after_a_lost_one_is_passed_on(#[case] body: wire::Call, #[case] reply: wire::Reply) {
    let actions = [Action::Lose, Action::Reply(reply.clone())];
    assert_eq!(call(body, &actions), Ok(reply));
}
