//! Each role is killed while requests are submitted, run and are answered.

use std::time;

use rstest::rstest;

use crate::support;
use crate::support::deployment::checker;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;

/// Requests of one case.
const COUNT: usize = 16;

/// How long callers wait at the first send.
const WAIT: time::Duration = time::Duration::from_secs(5);

/// Who is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Entry,
    Leader,
    Follower,
    Agent,
    Backend,
}

/// What goes on at the kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Submit,
    Running,
    Answer,
}

impl Stage {
    /// How long each task runs, in milliseconds, so that the stage is met.
    fn run_ms(self) -> u64 {
        match self {
            Stage::Submit => 20,
            Stage::Running => 1500,
            Stage::Answer => 200,
        }
    }

    async fn reached(self, cluster: &Cluster) {
        match self {
            // Submissions are under way at once.
            Stage::Submit => tokio::time::sleep(time::Duration::from_millis(5)).await,
            Stage::Running => cluster.until("a task runs", async || cluster.running() > 0).await,
            Stage::Answer => {
                let ended = async || cluster.record().iter().any(|run| run.end.is_some());
                cluster.until("a task has ended", ended).await;
            }
        }
    }
}

/// Kills the victim, and starts it again.
async fn strike(cluster: &mut Cluster, victim: Victim) {
    match victim {
        Victim::Entry => {
            cluster.entries[0].kill();
            cluster.start_entry(0);
        }
        Victim::Leader | Victim::Follower => {
            let leader = cluster.leader().await;
            let index = if victim == Victim::Leader { leader } else { (leader + 1) % 3 };
            cluster.controls[index].kill();
            cluster.start_control(index);
        }
        Victim::Agent => {
            cluster.agents[0].kill();
            cluster.start_agent(0);
        }
        Victim::Backend => cluster.replace_standin(0).await,
    }
}

#[rstest]
fn kill_keeps_promises(
    #[values(Victim::Entry, Victim::Leader, Victim::Follower, Victim::Agent, Victim::Backend)]
    victim: Victim,
    #[values(Stage::Submit, Stage::Running, Stage::Answer)] stage: Stage,
) {
    let _turn = daemon::turn();
    support::run(async {
        let size = cluster::Size { entries: 2, workers: 3 };
        let mut cluster = Cluster::start(size).await;
        let caller = cluster.caller();
        let load = checker::send(&caller, "kill", COUNT, stage.run_ms(), WAIT);
        let fault = async {
            stage.reached(&cluster).await;
            strike(&mut cluster, victim).await;
        };
        let (sent, ()) = futures_util::join!(load, fault);
        let words = checker::check(&cluster, &sent).await;
        let done = |kinds: &[&str]| checker::count(&words, kinds, "done");
        let refused = checker::count(&words, &cluster::KINDS, "not-run");
        // What may be repeated is done in the end, unless its caller was refused at the door.
        assert!(done(&[cluster::REPEATABLE]) + refused >= COUNT / 2, "{words:?}");
        if !matches!(victim, Victim::Agent | Victim::Backend) {
            assert_eq!(done(&cluster::KINDS) + refused, COUNT, "no worker was lost: {words:?}");
        }
    });
}
