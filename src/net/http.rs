//! The HTTP/1.1 server that every program uses: a thin shell round `actix-http` with bounds.

use std::cell;
use std::net;
use std::rc;
use std::time;

use actix_http::body;
use actix_service::IntoServiceFactory as _;
use actix_service::Service as _;
use actix_service::ServiceFactory as _;
use futures_util::future::LocalBoxFuture;
use tokio::sync::watch;

use crate::net::stall;

/// A request as it arrives; the body is a stream that the handler reads.
pub type Request = actix_http::Request;

/// A response; the body may be streamed.
pub type Response = actix_http::Response<body::BoxBody>;

/// Whoever answers requests.
pub trait Handler {
    /// Answers one request. Errors are responses too.
    fn handle(&self, request: Request) -> LocalBoxFuture<'static, Response>;
}

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; more are closed as they come.
    pub connections: usize,
    /// How long a client may take to send a head.
    pub head_timeout: time::Duration,
    /// How long an idle connection is kept.
    pub keep_alive: time::Duration,
    /// How long a client may accept nothing while bytes wait for it.
    pub write_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1024,
            head_timeout: time::Duration::from_secs(5),
            keep_alive: time::Duration::from_secs(15),
            write_timeout: time::Duration::from_secs(10),
        }
    }
}

type Tasks = rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>;

/// A listening server. All it has spawned ends with [`Server::stop`].
pub struct Server {
    addr: net::SocketAddr,
    accept: actix_rt::task::JoinHandle<()>,
    tasks: Tasks,
    stopping: watch::Sender<bool>,
}

impl Server {
    /// Listens on `addr`; port 0 lets the system pick.
    pub async fn bind(
        addr: net::SocketAddr,
        limits: Limits,
        handler: rc::Rc<dyn Handler>,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let tasks = Tasks::default();
        let stopping = watch::Sender::new(false);
        let accept = accept_loop(listener, limits, handler, tasks.clone(), stopping.clone());
        Ok(Self { addr, accept: actix_rt::spawn(accept), tasks, stopping })
    }

    /// The address it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops listening, closes idle connections, gives open requests `grace` to end, and joins all
    /// tasks.
    pub async fn stop(self, grace: time::Duration) {
        self.accept.abort();
        let _ = self.accept.await;
        self.stopping.send_replace(true);
        let deadline = tokio::time::Instant::now() + grace;
        let tasks = self.tasks.take();
        for mut task in tasks {
            if tokio::time::timeout_at(deadline, &mut task).await.is_err() {
                task.abort();
                let _ = task.await;
            }
        }
    }
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    limits: Limits,
    handler: rc::Rc<dyn Handler>,
    tasks: Tasks,
    stopping: watch::Sender<bool>,
) {
    let service = move |request: Request| {
        let response = handler.handle(request);
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    };
    let factory = actix_http::HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .keep_alive(limits.keep_alive)
        .graceful_shutdown_signal(move || stopped(stopping.subscribe()))
        .h1(service.into_factory());
    let Ok(server) = factory.new_service(()).await else { return };
    let server = rc::Rc::new(server);
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            // Out of descriptors: give connections time to end.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        let mut tasks = tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= limits.connections {
            tracing::warn!(%peer, "connection refused: too many");
            continue;
        }
        let _ = socket.set_nodelay(true);
        let call = server.call((stall::Stall::new(socket, limits.write_timeout), Some(peer)));
        tasks.push(actix_rt::spawn(async move {
            if let Err(error) = call.await {
                tracing::debug!(?error, "http connection ended");
            }
        }));
    }
}

/// Resolves once the server stops.
async fn stopped(mut stopping: watch::Receiver<bool>) {
    // An error means that the server is gone, which is a stop as well.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}
