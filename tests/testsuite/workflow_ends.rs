//! A worker with more ends than it lists at a time, over real sockets.

use hemlockcleat::core::dispatch::order;
use hemlockcleat::core::workflow::job;
use hemlockcleat::core::workflow::model;

use crate::support;
use crate::support::flow;
use crate::workflow;

/// How long a run takes that doesn't end by itself during the test.
const LONG: std::time::Duration = std::time::Duration::from_secs(3600);

const TASKS: u32 = order::MAX_LISTED_ENDS as u32 + 30;

/// All tasks of a worker end as done while there is no leader. The next leader must not take those
/// that the worker can't list yet for tasks that were never started.
#[test]
fn done_task_with_an_unlisted_end_is_not_started_again() {
    support::run(async {
        let mut site = workflow::Site::start(1, 1).await;
        site.configure().await;
        let worker = site.workers[0].clone();
        worker.room.set(TASKS);
        worker.run_time.set(LONG);
        let step = model::Step { cpu: 1, memory: 0, ..flow::step(TASKS, 0) };
        site.submit(1, "aa", step).await;
        workflow::wait_until(|| site.checker.starts.get() == TASKS as usize).await;
        let leader = site.stop_leader().await;
        worker.complete_runs();
        assert_eq!(worker.pending_ends(), TASKS as usize);
        site.start_replica(leader).await;
        assert_eq!(site.wait_for_end(1, "aa").await, job::Phase::Completed);
        assert_eq!(site.checker.starts.get(), TASKS as usize, "no task was started again");
        site.stop().await;
    });
}
