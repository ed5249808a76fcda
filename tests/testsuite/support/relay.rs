//! A TCP relay between two processes that counts bytes and can silently drop all data.

use std::cell;
use std::net;
use std::rc;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// State shared by both directions.
#[derive(Default)]
struct Shared {
    blackhole: cell::Cell<bool>,
    bytes: cell::Cell<u64>,
}

/// A running relay.
pub struct Relay {
    addr: net::SocketAddr,
    shared: rc::Rc<Shared>,
    accept: actix_rt::task::JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that forwards connections to `target`.
    pub async fn start(target: net::SocketAddr) -> Self {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(any).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let shared = rc::Rc::new(Shared::default());
        let accept = actix_rt::spawn(accept(listener, target, shared.clone()));
        Self { addr, shared, accept }
    }

    /// Returns the address that the relay listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Drops all data in both directions from now on, and keeps the connections open.
    pub fn blackhole(&self) {
        self.shared.blackhole.set(true);
    }

    /// Returns the number of bytes forwarded in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.get()
    }

    /// Stops accepting connections, and closes those that are open.
    pub async fn stop(self) {
        self.accept.abort();
        let _ = self.accept.await;
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    target: net::SocketAddr,
    shared: rc::Rc<Shared>,
) {
    let mut copies = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = tokio::net::TcpStream::connect(target).await else { continue };
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        copies.spawn_local(copy(client_in, server_out, shared.clone()));
        copies.spawn_local(copy(server_in, client_out, shared.clone()));
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    shared: rc::Rc<Shared>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if shared.blackhole.get() {
            if length == 0 {
                // The end of the stream isn't forwarded either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        shared.bytes.set(shared.bytes.get() + length as u64);
    }
}
