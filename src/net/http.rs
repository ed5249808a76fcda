//! The HTTP/1.1 server of every program: `actix-http` with limits on connections and time.

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

use crate::net::write_timeout;

/// A request whose body is a stream that the handler reads.
pub type Request = actix_http::Request;

/// A response; the body may be streamed.
pub type Response = actix_http::Response<body::BoxBody>;

/// A handler of requests.
pub trait Handler {
    /// Responds to one request; errors become responses too.
    fn handle(&self, request: Request) -> LocalBoxFuture<'static, Response>;
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed on arrival.
    pub connections: usize,
    /// Time that a client may take to send a request head.
    pub head_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub keep_alive: time::Duration,
    /// Time that a client may accept no bytes while some wait to be sent.
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

/// A listening server. [`Server::stop`] ends all tasks that it has spawned.
pub struct Server {
    addr: net::SocketAddr,
    accept: actix_rt::task::JoinHandle<()>,
    tasks: Tasks,
    stopping: watch::Sender<bool>,
}

impl Server {
    /// Listens on `addr`; with port 0, the operating system picks a free port.
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

    /// The address that the server listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops listening, closes idle connections, lets open requests finish for up to `grace`, and
    /// joins all tasks.
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
            // No file descriptors are left: wait for connections to close.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        let mut tasks = tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= limits.connections {
            tracing::warn!(%peer, "connection refused: too many are open");
            continue;
        }
        let _ = socket.set_nodelay(true);
        let call = server
            .call((write_timeout::WriteTimeout::new(socket, limits.write_timeout), Some(peer)));
        tasks.push(actix_rt::spawn(async move {
            if let Err(error) = call.await {
                tracing::debug!(?error, "http connection ended");
            }
        }));
    }
}

/// Resolves when the server stops.
async fn stopped(mut stopping: watch::Receiver<bool>) {
    // An error means that the server was dropped, which counts as a stop.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}
