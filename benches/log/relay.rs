//! A relay that delivers every byte late.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::mpsc;

/// Pieces that may be on their way in one direction.
const PIECES: usize = 4096;

/// Bytes read at once.
const PIECE: usize = 64 * 1024;

/// Takes connections on a listener of the runtime and passes them to `to`, `delay` late each way.
pub async fn run(listener: net::TcpListener, to: net::SocketAddr, delay: time::Duration) {
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = tokio::net::TcpStream::connect(to).await else { continue };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        actix_rt::spawn(pass(near_read, far_write, delay));
        actix_rt::spawn(pass(far_read, near_write, delay));
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    delay: time::Duration,
) {
    let (sender, mut pieces) = mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(PIECES);
    let read = async move {
        let mut buffer = vec![0; PIECE];
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            let due = tokio::time::Instant::now() + delay;
            if sender.send((due, buffer[..length].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, piece)) = pieces.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}
