//! Tests of the agent with a backend server that is slow, faulty or unresponsive.

use std::time;

use hemlockcleat::core::ledger::job;
use hemlockcleat::standin::options;
use hemlockcleat::standin::options::Switches;
use hemlockcleat::standin::record;
use hemlockcleat::wire::agent;
use rstest::rstest;

use crate::support;
use crate::support::agent_bed;
use crate::support::agent_bed::Bed;

#[rstest]
#[case::start_unanswered(Switches { mute_starts: 1, ..Switches::default() })]
#[case::crossed_once(Switches { crossed: 1, ..Switches::default() })]
#[case::crossed_twice(Switches { crossed: 2, ..Switches::default() })]
#[case::answer_corrupt_once(Switches { corrupt: 1, ..Switches::default() })]
#[case::answer_late(Switches { late_ms: 1500, ..Switches::default() })]
#[case::slow(Switches { slow: 20, ..Switches::default() })]
#[case::straggler(Switches {
    straggler_every: 1,
    straggler_factor: 20,
    ..Switches::default()
})]
#[case::longest_answer(Switches { answer_bytes: job::MAX_ANSWER_BYTES as usize, ..Switches::default() })]
fn agent_delivers_the_complete_answer(#[case] switches: options::Switches) {
    support::run(async {
        let bed = Bed::start(switches).await;
        let result = bed.run(1, 1).await;
        let text = agent_bed::answer(&bed.control, &result);
        assert!(text.contains(r#""attempt":"7.1""#));
        assert_eq!(agent_bed::ends(&bed.standin), [Some(record::End::Done)]);
        bed.stop().await;
    });
}

/// The expected result of an attempt.
#[derive(PartialEq)]
enum Expected {
    NotStarted,
    Failed,
    Unknown,
}

#[rstest]
#[case::refuses(Switches { refuses: true, ..Switches::default() }, Expected::NotStarted, 0)]
#[case::fails(Switches { fails: true, ..Switches::default() }, Expected::Failed, 1)]
#[case::always_corrupt(Switches { corrupt: 99, ..Switches::default() }, Expected::Failed, 1)]
#[case::always_crossed(Switches { crossed: 999_999, ..Switches::default() }, Expected::Failed, 1)]
#[case::answer_too_long(
    Switches { answer_bytes: job::MAX_ANSWER_BYTES as usize + 1, ..Switches::default() },
    Expected::Failed,
    1
)]
#[case::dies(Switches { dies_at: 1, ..Switches::default() }, Expected::Unknown, 1)]
fn agent_reports_result_with_faulty_backend(
    #[case] switches: options::Switches,
    #[case] expected: Expected,
    #[case] runs: usize,
) {
    support::run(async {
        let bed = Bed::start(switches).await;
        let result = bed.run(1, 1).await;
        let matches = match &result {
            agent::TaskResult::NotStarted => expected == Expected::NotStarted,
            agent::TaskResult::Failed(_) => expected == Expected::Failed,
            agent::TaskResult::Unknown(_) => expected == Expected::Unknown,
            _ => false,
        };
        assert!(matches, "{result:?}");
        assert_eq!(bed.standin.record().len(), runs);
        // With every result, no task runs any more, and a repeated start starts none.
        assert!(agent_bed::ends(&bed.standin).iter().all(Option::is_some));
        let attempt = agent_bed::attempt(1);
        bed.control.send(agent::ServerMessage::Start { attempt: attempt.clone(), epoch: 1 }).await;
        assert_eq!(bed.control.ended(&attempt).await, result);
        assert_eq!(bed.standin.record().len(), runs);
        bed.stop().await;
    });
}

#[test]
fn agent_drops_a_silent_backend_until_it_returns() {
    support::run(async {
        let bed = Bed::start(Switches::default()).await;
        bed.begin(agent_bed::prepare(1, 1, 600_000)).await;
        bed.control.started(&agent_bed::attempt(1)).await;
        let since = time::Instant::now();
        bed.standin.set(Switches { silent: true, ..Switches::default() });
        bed.control.announced(true).await;
        assert!(since.elapsed() < time::Duration::from_secs(5));
        let result = bed.control.ended(&agent_bed::attempt(1)).await;
        assert!(matches!(result, agent::TaskResult::Unknown(_)), "{result:?}");
        assert!(agent_bed::ends(&bed.standin).iter().all(Option::is_some));
        bed.control.with(|inner| inner.received.clear());
        bed.standin.set(Switches::default());
        bed.control.announced(false).await;
        agent_bed::answer(&bed.control, &bed.run(2, 1).await);
        bed.stop().await;
    });
}
