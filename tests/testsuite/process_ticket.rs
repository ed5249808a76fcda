//! Operators who race one another through different entries, and who send again.

use serde_json::json;

use crate::support;
use crate::support::deployment::cluster;
use crate::support::deployment::cluster::Cluster;
use crate::support::deployment::daemon;

/// Races of one test.
const RACES: u64 = 20;

fn ticket(number: u64, queue_limit: u32) -> serde_json::Value {
    json!({"number": number, "accounts": {cluster::ACCOUNT: cluster::account(queue_limit)}})
}

/// The number of a refusal's reason.
fn reason(response: &crate::support::deployment::client::Response) -> u64 {
    response.json()["reason"].as_u64().unwrap_or_default()
}

/// The ticket's number was used before with other content.
const REUSED: u64 = 15;

/// The ticket's number is not above the one that last set an object it touches.
const STALE: u64 = 16;

#[test]
fn ticket_race_has_one_winner() {
    let _turn = daemon::turn();
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
            assert_eq!(reason(&sent[1 - won]), REUSED, "ticket {number}");
            // The same again, through the other entry: the first outcome again.
            let again = cluster.ticket(1 - won, &tickets[won]).await.expect("a response");
            assert_eq!(again.status, 200);
            assert_eq!(again.json()["revision"], sent[won].json()["revision"]);
        }
        let stale = cluster.ticket(0, &ticket(1, 5)).await.expect("a response");
        assert_eq!(reason(&stale), REUSED);
        // A leader's end changes none of it.
        let leader = cluster.leader().await;
        cluster.controls[leader].kill();
        cluster.start_control(leader);
        let last = ticket(1 + RACES, 3000);
        let mut answer = None;
        cluster
            .until("a leader answers", async || cluster.operate(1, "/v1/status").await.is_some())
            .await;
        while answer
            .as_ref()
            .is_none_or(|answer: &support::deployment::client::Response| reason(answer) == 0)
        {
            answer = cluster.ticket(0, &last).await;
        }
        assert_eq!(reason(&answer.expect("a response")), REUSED);
    });
}

#[test]
fn ticket_number_must_rise() {
    let _turn = daemon::turn();
    support::run(async {
        let cluster = Cluster::start(cluster::Size { entries: 1, workers: 1 }).await;
        let accepted = cluster.ticket(0, &ticket(10, 50)).await.expect("a response");
        assert_eq!(accepted.status, 200);
        let stale = cluster.ticket(0, &ticket(9, 60)).await.expect("a response");
        assert_eq!(reason(&stale), STALE);
        let account = format!("/v1/accounts/{}", cluster::ACCOUNT);
        let account = cluster.operate(0, &account).await.expect("the account");
        assert_eq!(account["queue_limit"], 50, "a refused ticket changes nothing");
    });
}
