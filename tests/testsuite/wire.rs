//! Tests of framing, encoding and the message streams between processes.

use std::rc;

use futures_util::future;
use hemlockcleat::net::stream;
use hemlockcleat::wire::agent;
use hemlockcleat::wire::codec;

use crate::support;

struct Echo;

impl stream::Handler for Echo {
    fn handle(&self, incoming: stream::Incoming) -> future::LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            let (sender, mut receiver) =
                incoming.split::<agent::ClientMessage, agent::ClientMessage>();
            while let Some(message) = receiver.receive().await {
                sender.send(&message).await;
            }
        })
    }
}

fn chunk(offset: u64, length: usize) -> agent::ClientMessage {
    let attempt = hemlockcleat::wire::common::AttemptKey { job: 7, number: 1 };
    agent::ClientMessage::Chunk { attempt, offset, bytes: vec![7; length] }
}

#[test]
fn stream_echoes_long_messages_in_order() {
    support::run(async {
        let addr = "127.0.0.1:0".parse().expect("an address");
        let server = stream::Server::bind(addr, 4, rc::Rc::new(Echo)).await.expect("a server");
        let (sender, mut receiver, connection) =
            stream::connect::<agent::ClientMessage, agent::ClientMessage>(server.addr(), "/echo")
                .await
                .expect("a stream");
        for round in 0..40 {
            let message = chunk(round, 300_000);
            assert!(sender.send(&message).await);
            assert_eq!(receiver.receive().await, Some(message));
        }
        drop(sender);
        assert_eq!(receiver.receive().await, None);
        drop(connection);
        server.stop().await;
    });
}

#[test]
fn codec_refuses_trailing_bytes() {
    let mut bytes = codec::encode(&chunk(0, 3));
    bytes.push(0);
    let error = codec::decode::<agent::ClientMessage>(&bytes).expect_err("one byte too many");
    assert!(matches!(error, codec::Error::Trailing(1)));
}

#[test]
fn codec_refuses_truncated_bytes() {
    let bytes = codec::encode(&chunk(0, 300));
    for length in [0, 1, 2, bytes.len() - 1] {
        assert!(codec::decode::<agent::ClientMessage>(&bytes[..length]).is_err());
    }
}
