//! The encoding of the messages between replicas.

use bytes::Bytes;
use hemlockcleat::core::consensus::entry;
use hemlockcleat::core::consensus::message;
use hemlockcleat::core::ids;
use hemlockcleat::wire::codec;
use hemlockcleat::wire::peer;

fn id(replica: u64) -> entry::Identity {
    let store = ids::StoreKey(u128::from(replica) * 1000);
    entry::Identity { replica: ids::ReplicaKey(replica), store }
}

fn bodies() -> Vec<message::Body> {
    let index = ids::LogIndex;
    let term = ids::Term;
    let member = entry::Member { id: id(1), addr: "127.0.0.1:7000".to_owned(), voter: true };
    let membership = entry::Membership::new(vec![member]);
    let payloads = [
        entry::Payload::Membership(membership.clone()),
        entry::Payload::Noop,
        entry::Payload::Command(Bytes::from_static(b"command")),
    ];
    let entry = |(at, payload)| entry::Entry { index: index(at), term: term(2), payload };
    let snapshot =
        entry::Snapshot { index: index(9), term: term(2), membership, length: 5, checksum: 77 };
    vec![
        message::Body::PreVote { last: index(9), last_term: term(2) },
        message::Body::PreVoteResponse { granted: true },
        message::Body::Vote { last: index(9), last_term: term(2), transfer: true },
        message::Body::VoteResponse { granted: false },
        message::Body::Append {
            prev: index(9),
            prev_term: term(2),
            entries: (10..).zip(payloads).map(entry).collect(),
            commit: index(8),
            round: 300,
        },
        message::Body::AppendResponse {
            matched: index(9),
            round: 300,
            mismatch: Some(message::Mismatch { prev: index(12), hint: index(11) }),
        },
        message::Body::SnapshotChunk { snapshot, offset: 3, bytes: Bytes::from_static(b"te") },
        message::Body::SnapshotChunkResponse { index: index(9), offset: 5 },
        message::Body::TimeoutNow,
    ]
}

#[test]
fn peer_bytes_are_pinned() {
    let mut bytes = Vec::new();
    let hello = peer::Hello { version: codec::PROTOCOL_VERSION, id: id(1).into(), group: Some(6) };
    bytes.extend(codec::encode(&peer::ClientMessage::Hello(hello)));
    bytes.extend(codec::encode(&peer::ClientMessage::Join(6)));
    bytes.extend(codec::encode(&peer::ServerMessage::Hello(hello)));
    bytes.extend(codec::encode(&peer::ServerMessage::Joined(6)));
    for body in bodies() {
        let group = ids::GroupKey(6);
        let term = ids::Term(3);
        let envelope = message::Envelope { group, from: id(1), to: id(2), term, body };
        let encoded = codec::encode(&peer::ClientMessage::Envelope(envelope.clone().into()));
        let Ok(peer::ClientMessage::Envelope(decoded)) = codec::decode(&encoded) else {
            panic!("no message")
        };
        assert_eq!(message::Envelope::try_from(decoded).expect("a message"), envelope);
        bytes.extend(encoded);
    }
    let name = format!("{}/tests/samples/peer", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("WRITE_SAMPLES").is_some() {
        std::fs::write(&name, &bytes).expect("a sample");
    }
    assert_eq!(bytes, std::fs::read(&name).expect("a committed sample"));
}
