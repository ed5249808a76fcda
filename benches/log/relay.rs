//! A TCP relay that delays every byte.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::mpsc;

/// The most chunks that are delayed in one direction at a time.
const MAX_CHUNKS: usize = 4096;

/// The most bytes read at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Accepts connections and relays them to `to`, with this delay in each direction.
pub async fn run(listener: net::TcpListener, to: net::SocketAddr, delay: time::Duration) {
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    while let Ok((inbound, _)) = listener.accept().await {
        let Ok(outbound) = tokio::net::TcpStream::connect(to).await else { continue };
        let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
        let (inbound_read, inbound_write) = inbound.into_split();
        let (outbound_read, outbound_write) = outbound.into_split();
        actix_rt::spawn(forward(inbound_read, outbound_write, delay));
        actix_rt::spawn(forward(outbound_read, inbound_write, delay));
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    delay: time::Duration,
) {
    let (sender, mut chunks) = mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(MAX_CHUNKS);
    let read = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            let due = tokio::time::Instant::now() + delay;
            if sender.send((due, buffer[..length].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}
