//! Kills a daemon of each role while requests are submitted, running or answered.

use std::time;

use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;

/// Number of requests in one case.
const COUNT: usize = 16;

/// Wait time of a request's first send.
const WAIT: time::Duration = time::Duration::from_secs(5);

/// The daemon that is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Entry,
    Leader,
    Follower,
    Agent,
    Backend,
}

/// Stage of the requests when the daemon is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Submit,
    Running,
    Answer,
}

impl Stage {
    /// Returns the run time of each task, in milliseconds, long enough to reach the stage.
    fn run_ms(self) -> u64 {
        match self {
            Stage::Submit => 20,
            Stage::Running => 1500,
            Stage::Answer => 200,
        }
    }

    async fn wait_reached(self, cluster: &Cluster) {
        match self {
            // Submissions are in flight immediately.
            Stage::Submit => tokio::time::sleep(time::Duration::from_millis(5)).await,
            Stage::Running => {
                cluster.wait_until("a task runs", async || cluster.running_tasks() > 0).await
            }
            Stage::Answer => {
                let ended = async || cluster.record().iter().any(|run| run.end.is_some());
                cluster.wait_until("a task has ended", ended).await;
            }
        }
    }
}

/// Kills the target and restarts it.
async fn kill_and_restart(cluster: &mut Cluster, target: Target) {
    match target {
        Target::Entry => {
            cluster.entries[0].kill();
            cluster.start_entry(0);
        }
        Target::Leader | Target::Follower => {
            let leader = cluster.leader().await;
            let index = if target == Target::Leader { leader } else { (leader + 1) % 3 };
            cluster.controls[index].kill();
            cluster.start_control(index);
        }
        Target::Agent => {
            cluster.agents[0].kill();
            cluster.start_agent(0);
        }
        Target::Backend => cluster.replace_standin(0).await,
    }
}

#[rstest]
fn kill_keeps_promises(
    #[values(Target::Entry, Target::Leader, Target::Follower, Target::Agent, Target::Backend)]
    target: Target,
    #[values(Stage::Submit, Stage::Running, Stage::Answer)] stage: Stage,
) {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let size = cluster::Size { entries: 2, workers: 3 };
        let mut cluster = Cluster::start(size).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "kill", COUNT, stage.run_ms(), WAIT);
        let fault = async {
            stage.wait_reached(&cluster).await;
            kill_and_restart(&mut cluster, target).await;
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let counts = checker::check(&cluster, &sent).await;
        let done = |kinds: &[&str]| checker::count(&counts, kinds, "done");
        let refused = checker::count(&counts, &cluster::KINDS, "not-run");
        // Repeatable requests are done in the end, unless their submission was refused.
        assert!(done(&[cluster::REPEATABLE]) + refused >= COUNT / 2, "{counts:?}");
        if !matches!(target, Target::Agent | Target::Backend) {
            assert_eq!(done(&cluster::KINDS) + refused, COUNT, "no worker was lost: {counts:?}");
        }
    });
}
