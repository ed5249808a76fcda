//! A relay between two processes that counts bytes and can cut the connection without a sign.

use std::cell;
use std::net;
use std::rc;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// What both directions share.
#[derive(Default)]
struct Shared {
    cut: cell::Cell<bool>,
    bytes: cell::Cell<u64>,
}

pub struct Relay {
    addr: net::SocketAddr,
    shared: rc::Rc<Shared>,
    accept: actix_rt::task::JoinHandle<()>,
}

impl Relay {
    /// Passes connections on to `target`.
    pub async fn start(target: net::SocketAddr) -> Self {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(any).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let shared = rc::Rc::new(Shared::default());
        let accept = actix_rt::spawn(accept(listener, target, shared.clone()));
        Self { addr, shared, accept }
    }

    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// From now on, swallows what comes, in both directions.
    pub fn cut(&self) {
        self.shared.cut.set(true);
    }

    /// Bytes passed on, in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.get()
    }

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
    let mut pumps = tokio::task::JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = tokio::net::TcpStream::connect(target).await else { continue };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        pumps.spawn_local(pump(near_in, far_out, shared.clone()));
        pumps.spawn_local(pump(far_in, near_out, shared.clone()));
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    shared: rc::Rc<Shared>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if shared.cut.get() {
            if length == 0 {
                // Not even the end gets through.
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
