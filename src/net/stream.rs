//! A pair of message streams over one h2 connection.
//!
//! A client opens one connection and one h2 stream on it; both sides then send messages whenever
//! they like. A message is framed by its length and CRC-32 (4 bytes each, little-endian) ahead of
//! its bytes. A connection that breaks the framing is closed.

use std::cell;
use std::future;
use std::marker;
use std::net;
use std::rc;
use std::time;

use bytes::Buf as _;
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::wire::codec;

/// The media type that names the framing and its version.
const CONTENT_TYPE: &str = "application/x-hemlockcleat-1";

/// Bytes of a frame ahead of its message.
const FRAME_HEAD: usize = 8;

/// Messages that may wait to be sent on one stream before the sender must wait.
const SEND_QUEUE: usize = 1024;

/// Messages that may wait to be read on one stream.
const RECEIVE_QUEUE: usize = 64;

/// Bytes a peer may send ahead on one stream.
const WINDOW: u32 = 1024 * 1024;

/// How long connecting and the first answer may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

quick_error! {
    /// Why a stream could not be opened or has ended.
    #[derive(Debug)]
    pub enum Error {
        /// The socket failed.
        Io(source: std::io::Error) {
            display("connection failed: {}", source)
            source(source)
            from()
        }
        /// The h2 connection failed.
        H2(source: h2::Error) {
            display("h2 failed: {}", source)
            source(source)
            from()
        }
        /// The peer did not answer in time.
        Timeout {
            display("no answer in time")
        }
        /// The peer refused the stream.
        Refused(status: u16) {
            display("the peer refused the stream with status {}", status)
        }
        /// The peer's bytes are not the framing.
        Frame(detail: String) {
            display("bad frame: {}", detail)
        }
    }
}

/// The sending half of a stream of messages.
pub struct Sender<T> {
    queue: mpsc::Sender<Vec<u8>>,
    kind: marker::PhantomData<fn(T)>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone(), kind: marker::PhantomData }
    }
}

impl<T: bincode::Encode> Sender<T> {
    /// Sends a message, waiting for room. False once the stream has ended.
    pub async fn send(&self, message: &T) -> bool {
        self.queue.send(codec::encode(message)).await.is_ok()
    }

    /// Sends a message if there is room. False if there is none or the stream has ended.
    pub fn try_send(&self, message: &T) -> bool {
        self.queue.try_send(codec::encode(message)).is_ok()
    }

    /// Messages that wait to be sent.
    pub fn queued(&self) -> usize {
        self.queue.max_capacity() - self.queue.capacity()
    }

    /// Whether the stream has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// The receiving half of a stream of messages.
pub struct Receiver<T> {
    queue: mpsc::Receiver<Vec<u8>>,
    kind: marker::PhantomData<fn() -> T>,
}

impl<T: bincode::Decode<()>> Receiver<T> {
    /// The next message; none once the stream has ended or broken its framing.
    pub async fn receive(&mut self) -> Option<T> {
        let bytes = self.queue.recv().await?;
        match codec::decode(&bytes) {
            Ok(message) => Some(message),
            Err(error) => {
                tracing::warn!(%error, "stream closed over a malformed message");
                self.queue.close();
                None
            }
        }
    }
}

impl<T: bincode::Decode<()>> Receiver<T> {
    /// A message that has arrived already, if there is one.
    pub fn try_receive(&mut self) -> Option<T> {
        let bytes = self.queue.try_recv().ok()?;
        codec::decode(&bytes).ok()
    }
}

/// A sender and a receiver joined in memory, for callers that bring a transport of their own.
pub fn pair<T>() -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::channel(SEND_QUEUE);
    let sender = Sender { queue: sender, kind: marker::PhantomData };
    (sender, Receiver { queue: receiver, kind: marker::PhantomData })
}

/// A server's view of a stream that a client has opened. The handler turns it into typed halves.
pub struct Incoming {
    /// The path the client asked for, such as `/agent`.
    pub path: String,
    /// The client's address.
    pub peer: net::SocketAddr,
    outgoing: mpsc::Sender<Vec<u8>>,
    incoming: mpsc::Receiver<Vec<u8>>,
}

impl Incoming {
    /// The typed halves of the stream.
    pub fn split<Up, Down>(self) -> (Sender<Down>, Receiver<Up>) {
        (
            Sender { queue: self.outgoing, kind: marker::PhantomData },
            Receiver { queue: self.incoming, kind: marker::PhantomData },
        )
    }
}

/// Reads frames off an h2 body, in pieces of any size.
#[derive(Default)]
struct Deframer {
    buffer: bytes::BytesMut,
}

impl Deframer {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        if self.buffer.len() < FRAME_HEAD {
            return Ok(None);
        }
        let mut head = &self.buffer[..FRAME_HEAD];
        let length = head.get_u32_le() as usize;
        let checksum = head.get_u32_le();
        if length > codec::MAX_MESSAGE_BYTES {
            return Err(Error::Frame(format!(
                "{length} bytes exceed {}",
                codec::MAX_MESSAGE_BYTES
            )));
        }
        if self.buffer.len() < FRAME_HEAD + length {
            return Ok(None);
        }
        self.buffer.advance(FRAME_HEAD);
        let message = self.buffer.split_to(length).to_vec();
        if crc32fast::hash(&message) != checksum {
            return Err(Error::Frame("checksum does not match".to_owned()));
        }
        Ok(Some(message))
    }
}

fn frame(message: &[u8]) -> bytes::Bytes {
    let mut bytes = Vec::with_capacity(FRAME_HEAD + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
    bytes.into()
}

/// Copies queued messages onto the h2 stream as the peer's window permits.
async fn pump_out(mut body: h2::SendStream<bytes::Bytes>, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(message) = queue.recv().await {
        let mut bytes = frame(&message);
        while !bytes.is_empty() {
            body.reserve_capacity(bytes.len());
            let granted = match future::poll_fn(|cx| body.poll_capacity(cx)).await {
                Some(Ok(granted)) => granted,
                _ => return,
            };
            let part = bytes.split_to(granted.min(bytes.len()));
            if body.send_data(part, false).is_err() {
                return;
            }
        }
    }
    let _ = body.send_data(bytes::Bytes::new(), true);
}

/// Copies messages off the h2 stream into the queue until either end closes.
async fn pump_in(mut body: h2::RecvStream, queue: mpsc::Sender<Vec<u8>>) {
    let mut deframer = Deframer::default();
    loop {
        let piece = tokio::select! {
            piece = body.data() => piece,
            () = queue.closed() => return,
        };
        let Some(Ok(piece)) = piece else { return };
        let _ = body.flow_control().release_capacity(piece.len());
        deframer.push(&piece);
        loop {
            match deframer.next() {
                Ok(Some(message)) => {
                    if queue.send(message).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(%error, "stream closed over a bad frame");
                    return;
                }
            }
        }
    }
}

/// A client's connection with its one stream. Dropping it closes the connection.
pub struct Connection {
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Connection {
    /// Resolves when the connection has ended.
    pub async fn closed(mut self) {
        for task in self.tasks.drain(..) {
            let _ = task.await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Connects to `addr` and opens a stream on `path`.
pub async fn connect<Up, Down>(
    addr: net::SocketAddr,
    path: &str,
) -> Result<(Sender<Up>, Receiver<Down>, Connection), Error> {
    match tokio::time::timeout(CONNECT_TIMEOUT, connect_unbounded(addr, path)).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}

async fn connect_unbounded<Up, Down>(
    addr: net::SocketAddr,
    path: &str,
) -> Result<(Sender<Up>, Receiver<Down>, Connection), Error> {
    let socket = tokio::net::TcpStream::connect(addr).await?;
    socket.set_nodelay(true)?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, bytes::Bytes>(socket)
        .await?;
    let mut connection = Connection {
        tasks: vec![actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "h2 connection ended");
            }
        })],
    };
    let mut client = client.ready().await?;
    let request = http::Request::post(format!("http://{addr}{path}"))
        .header(http::header::CONTENT_TYPE, CONTENT_TYPE)
        .body(())
        .map_err(|error| Error::Frame(error.to_string()))?;
    let (response, body) = client.send_request(request, false)?;
    let response = response.await?;
    if response.status() != http::StatusCode::OK {
        return Err(Error::Refused(response.status().as_u16()));
    }
    let (outgoing, out_queue) = mpsc::channel(SEND_QUEUE);
    let (in_queue, incoming) = mpsc::channel(RECEIVE_QUEUE);
    connection.tasks.push(actix_rt::spawn(pump_out(body, out_queue)));
    connection.tasks.push(actix_rt::spawn(pump_in(response.into_body(), in_queue)));
    let sender = Sender { queue: outgoing, kind: marker::PhantomData };
    let receiver = Receiver { queue: incoming, kind: marker::PhantomData };
    Ok((sender, receiver, connection))
}

/// Whoever takes the streams that clients open.
pub trait Handler {
    /// Takes one stream and serves it until it ends.
    fn handle(&self, incoming: Incoming) -> futures_util::future::LocalBoxFuture<'static, ()>;
}

/// A listening server. All it has spawned ends with [`Server::stop`].
pub struct Server {
    addr: net::SocketAddr,
    accept: actix_rt::task::JoinHandle<()>,
    connections: rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>,
}

impl Server {
    /// Listens on `addr` (port 0 lets the system pick) and serves up to `limit` connections.
    pub async fn bind(
        addr: net::SocketAddr,
        limit: usize,
        handler: rc::Rc<dyn Handler>,
    ) -> Result<Self, Error> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let connections = rc::Rc::new(cell::RefCell::new(Vec::new()));
        let accept = actix_rt::spawn(accept_loop(listener, limit, handler, connections.clone()));
        Ok(Self { addr, accept, connections })
    }

    /// The address it listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops listening, closes every connection and joins all tasks.
    pub async fn stop(self) {
        self.accept.abort();
        let _ = self.accept.await;
        let connections = self.connections.take();
        for task in connections {
            task.abort();
            let _ = task.await;
        }
    }
}

async fn accept_loop(
    listener: tokio::net::TcpListener,
    limit: usize,
    handler: rc::Rc<dyn Handler>,
    connections: rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>,
) {
    loop {
        let Ok((socket, peer)) = listener.accept().await else {
            // Out of descriptors: give connections time to end.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        let mut tasks = connections.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= limit {
            tracing::warn!(%peer, "connection refused: too many");
            continue;
        }
        let _ = socket.set_nodelay(true);
        tasks.push(actix_rt::spawn(serve_connection(socket, peer, handler.clone())));
    }
}

async fn serve_connection(
    socket: tokio::net::TcpStream,
    peer: net::SocketAddr,
    handler: rc::Rc<dyn Handler>,
) {
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_concurrent_streams(1)
        .handshake::<_, bytes::Bytes>(socket);
    let Ok(Ok(mut connection)) = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await else {
        return;
    };
    // The streams of a connection are served in this task, so that they end with it.
    let mut streams = futures_util::stream::FuturesUnordered::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else { return };
                streams.push(serve_stream(request, respond, peer, handler.clone()));
            }
            Some(()) = futures_util::StreamExt::next(&mut streams) => {}
        }
    }
}

async fn serve_stream(
    request: http::Request<h2::RecvStream>,
    mut respond: h2::server::SendResponse<bytes::Bytes>,
    peer: net::SocketAddr,
    handler: rc::Rc<dyn Handler>,
) {
    let known = request.headers().get(http::header::CONTENT_TYPE)
        == Some(&http::HeaderValue::from_static(CONTENT_TYPE));
    let mut response = http::Response::new(());
    if !known {
        *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
        let _ = respond.send_response(response, true);
        return;
    }
    let Ok(body) = respond.send_response(response, false) else { return };
    let (outgoing, out_queue) = mpsc::channel(SEND_QUEUE);
    let (in_queue, incoming) = mpsc::channel(RECEIVE_QUEUE);
    let path = request.uri().path().to_owned();
    let incoming = Incoming { path, peer, outgoing, incoming };
    let out = pump_out(body, out_queue);
    let handled = handler.handle(incoming);
    let inward = pump_in(request.into_body(), in_queue);
    // The stream lives until the handler has returned and what it queued is sent.
    tokio::join!(out, handled, inward);
}
