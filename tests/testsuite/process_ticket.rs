//! Tests of operators that send tickets concurrently through different entries, and resend them.

use serde_json::json;

use crate::support;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;

/// Number of pairs of concurrent tickets.
const RACES: u64 = 20;

fn ticket(number: u64, queue_limit: u32) -> serde_json::Value {
    json!({"number": number, "accounts": {cluster::ACCOUNT: cluster::account(queue_limit)}})
}

/// Returns the number of a refusal's reason, or 0 without one.
fn reason(response: &crate::support::deployment::client::Response) -> u64 {
    response.json()["reason"].as_u64().unwrap_or_default()
}

/// Reason of a refusal: the ticket's number was used before with other content.
const NUMBER_REUSED: u64 = 15;

/// Reason of a refusal: the ticket's number is not greater than that of the last ticket for one of
/// its objects.
const NUMBER_STALE: u64 = 16;

#[test]
fn ticket_race_has_one_winner() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let mut cluster = Cluster::start(cluster::Size { entries: 2, workers: 1 }).await;
        for number in 2..2 + RACES {
            let tickets = [ticket(number, 1000), ticket(number, 2000)];
            let sent = futures_util::join!(
                cluster.ticket(0, &tickets[0]),
                cluster.ticket(1, &tickets[1]),
            );
            let sent = [sent.0.expect("a response"), sent.1.expect("a response")];
            let won = sent.iter().position(|response| response.status == 200).expect("a winner");
            assert_eq!(reason(&sent[1 - won]), NUMBER_REUSED, "ticket {number}");
            // Resent through the other entry, the ticket gets the first outcome.
            let again = cluster.ticket(1 - won, &tickets[won]).await.expect("a response");
            assert_eq!(again.status, 200);
            assert_eq!(again.json()["revision"], sent[won].json()["revision"]);
        }
        let stale = cluster.ticket(0, &ticket(1, 5)).await.expect("a response");
        assert_eq!(reason(&stale), NUMBER_REUSED);
        // A change of the leader keeps the outcomes.
        let leader = cluster.leader().await;
        cluster.controls[leader].kill();
        cluster.start_control(leader);
        let last = ticket(1 + RACES, 3000);
        let mut answer = None;
        cluster
            .wait_until("a leader answers", async || cluster.get(1, "/v1/status").await.is_some())
            .await;
        while answer
            .as_ref()
            .is_none_or(|answer: &support::deployment::client::Response| reason(answer) == 0)
        {
            answer = cluster.ticket(0, &last).await;
        }
        assert_eq!(reason(&answer.expect("a response")), NUMBER_REUSED);
    });
}

#[test]
fn ticket_number_must_rise() {
    let _exclusive = daemon::exclusive();
    support::run(async {
        let cluster = Cluster::start(cluster::Size { entries: 1, workers: 1 }).await;
        let accepted = cluster.ticket(0, &ticket(10, 50)).await.expect("a response");
        assert_eq!(accepted.status, 200);
        let stale = cluster.ticket(0, &ticket(9, 60)).await.expect("a response");
        assert_eq!(reason(&stale), NUMBER_STALE);
        let account = format!("/v1/accounts/{}", cluster::ACCOUNT);
        let account = cluster.get(0, &account).await.expect("the account");
        assert_eq!(account["queue_limit"], 50, "a refused ticket changes nothing");
    });
}
