//! A pair of message streams over one h2 connection.
//!
//! A client opens one connection with one h2 stream, on which both sides send messages at any time.
//! Each message is preceded by its length and CRC-32, 4 bytes each, little-endian. A connection with
//! an invalid frame is closed.

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

/// The media type, which identifies the framing and its version.
const CONTENT_TYPE: &str = "application/x-hemlockcleat-1";

/// Bytes of a frame's header.
const FRAME_HEADER_BYTES: usize = 8;

/// Capacity of a stream's send queue; a sender waits while the queue is full.
const SEND_QUEUE_MESSAGES: usize = 1024;

/// Capacity of a stream's queue of received messages.
const RECEIVE_QUEUE_MESSAGES: usize = 64;

/// Flow control window of a stream.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Limit of connecting and opening a stream.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

quick_error! {
    /// Errors of opening and reading a stream.
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
        /// The peer did not respond in time.
        Timeout {
            display("the peer did not respond in time")
        }
        /// The peer refused the stream with this HTTP status.
        Refused(status: u16) {
            display("the peer refused the stream with status {}", status)
        }
        /// The peer sent an invalid frame.
        Frame(detail: String) {
            display("invalid frame: {}", detail)
        }
    }
}

/// The sending half of a stream of messages.
pub struct Sender<T> {
    queue: mpsc::Sender<Vec<u8>>,
    message_type: marker::PhantomData<fn(T)>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone(), message_type: marker::PhantomData }
    }
}

impl<T: bincode::Encode> Sender<T> {
    /// Queues a message, waiting while the queue is full. False once the stream has ended.
    pub async fn send(&self, message: &T) -> bool {
        self.queue.send(codec::encode(message)).await.is_ok()
    }

    /// Queues a message. False if the queue is full or the stream has ended.
    pub fn try_send(&self, message: &T) -> bool {
        self.queue.try_send(codec::encode(message)).is_ok()
    }

    /// The number of messages that wait to be sent.
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
    message_type: marker::PhantomData<fn() -> T>,
}

impl<T: bincode::Decode<()>> Receiver<T> {
    /// The next message; none once the stream has ended or has carried an invalid message.
    pub async fn receive(&mut self) -> Option<T> {
        let bytes = self.queue.recv().await?;
        match codec::decode(&bytes) {
            Ok(message) => Some(message),
            Err(error) => {
                tracing::warn!(%error, "stream closed: malformed message");
                self.queue.close();
                None
            }
        }
    }
}

impl<T: bincode::Decode<()>> Receiver<T> {
    /// The next message, if it is valid and has arrived already.
    pub fn try_receive(&mut self) -> Option<T> {
        let bytes = self.queue.try_recv().ok()?;
        codec::decode(&bytes).ok()
    }
}

/// Connects a sender and a receiver in memory, for callers with a transport of their own.
pub fn pair<T>() -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let sender = Sender { queue: sender, message_type: marker::PhantomData };
    (sender, Receiver { queue: receiver, message_type: marker::PhantomData })
}

/// A stream that a client has opened, before the handler gives its messages a type.
pub struct Incoming {
    /// The path that the client requested, such as `/agent`.
    pub path: String,
    /// The client's address.
    pub peer: net::SocketAddr,
    outgoing: mpsc::Sender<Vec<u8>>,
    incoming: mpsc::Receiver<Vec<u8>>,
}

impl Incoming {
    /// Splits the stream into its sending and its receiving half.
    pub fn split<ClientMessage, ServerMessage>(
        self,
    ) -> (Sender<ServerMessage>, Receiver<ClientMessage>) {
        (
            Sender { queue: self.outgoing, message_type: marker::PhantomData },
            Receiver { queue: self.incoming, message_type: marker::PhantomData },
        )
    }
}

/// Decodes frames from the chunks of an h2 body, which may have any size.
#[derive(Default)]
struct FrameDecoder {
    buffer: bytes::BytesMut,
}

impl FrameDecoder {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        if self.buffer.len() < FRAME_HEADER_BYTES {
            return Ok(None);
        }
        let mut header = &self.buffer[..FRAME_HEADER_BYTES];
        let length = header.get_u32_le() as usize;
        let checksum = header.get_u32_le();
        if length > codec::MAX_MESSAGE_BYTES {
            return Err(Error::Frame(format!(
                "{length} bytes exceed {}",
                codec::MAX_MESSAGE_BYTES
            )));
        }
        if self.buffer.len() < FRAME_HEADER_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(FRAME_HEADER_BYTES);
        let message = self.buffer.split_to(length).to_vec();
        if crc32fast::hash(&message) != checksum {
            return Err(Error::Frame("checksum does not match".to_owned()));
        }
        Ok(Some(message))
    }
}

fn frame(message: &[u8]) -> bytes::Bytes {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + message.len());
    bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
    bytes.into()
}

/// Sends queued messages on the h2 stream as the peer's flow control window permits.
async fn send_frames(mut body: h2::SendStream<bytes::Bytes>, mut queue: mpsc::Receiver<Vec<u8>>) {
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

/// Moves received messages from the h2 stream to the queue until either is closed.
async fn receive_frames(mut body: h2::RecvStream, queue: mpsc::Sender<Vec<u8>>) {
    let mut decoder = FrameDecoder::default();
    loop {
        let chunk = tokio::select! {
            chunk = body.data() => chunk,
            () = queue.closed() => return,
        };
        let Some(Ok(chunk)) = chunk else { return };
        let _ = body.flow_control().release_capacity(chunk.len());
        decoder.push(&chunk);
        loop {
            match decoder.next() {
                Ok(Some(message)) => {
                    if queue.send(message).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(%error, "stream closed: invalid frame");
                    return;
                }
            }
        }
    }
}

/// A client's connection with its stream. Dropping it closes the connection.
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

/// Connects to `addr` and opens a stream on `path`; fails if this takes longer than 3 s.
pub async fn connect<ClientMessage, ServerMessage>(
    addr: net::SocketAddr,
    path: &str,
) -> Result<(Sender<ClientMessage>, Receiver<ServerMessage>, Connection), Error> {
    match tokio::time::timeout(CONNECT_TIMEOUT, connect_without_timeout(addr, path)).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}

async fn connect_without_timeout<ClientMessage, ServerMessage>(
    addr: net::SocketAddr,
    path: &str,
) -> Result<(Sender<ClientMessage>, Receiver<ServerMessage>, Connection), Error> {
    let socket = tokio::net::TcpStream::connect(addr).await?;
    socket.set_nodelay(true)?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
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
    let (outgoing, out_queue) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let (in_queue, incoming) = mpsc::channel(RECEIVE_QUEUE_MESSAGES);
    connection.tasks.push(actix_rt::spawn(send_frames(body, out_queue)));
    connection.tasks.push(actix_rt::spawn(receive_frames(response.into_body(), in_queue)));
    let sender = Sender { queue: outgoing, message_type: marker::PhantomData };
    let receiver = Receiver { queue: incoming, message_type: marker::PhantomData };
    Ok((sender, receiver, connection))
}

/// A handler of the streams that clients open.
pub trait Handler {
    /// Serves one stream until it ends.
    fn handle(&self, incoming: Incoming) -> futures_util::future::LocalBoxFuture<'static, ()>;
}

/// A listening server. [`Server::stop`] ends all tasks that it has spawned.
pub struct Server {
    addr: net::SocketAddr,
    accept: actix_rt::task::JoinHandle<()>,
    connections: rc::Rc<cell::RefCell<Vec<actix_rt::task::JoinHandle<()>>>>,
}

impl Server {
    /// Listens on `addr` and serves up to `limit` connections; with port 0, the operating system picks
    /// a free port.
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

    /// The address that the server listens on.
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
            // No file descriptors are left: wait for connections to close.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            continue;
        };
        let mut tasks = connections.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        if tasks.len() >= limit {
            tracing::warn!(%peer, "connection refused: too many are open");
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
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .handshake::<_, bytes::Bytes>(socket);
    let Ok(Ok(mut connection)) = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await else {
        return;
    };
    // This task serves the streams of its connection, so they end with the connection.
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
    let supported = request.headers().get(http::header::CONTENT_TYPE)
        == Some(&http::HeaderValue::from_static(CONTENT_TYPE));
    let mut response = http::Response::new(());
    if !supported {
        *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
        let _ = respond.send_response(response, true);
        return;
    }
    let Ok(body) = respond.send_response(response, false) else { return };
    let (outgoing, out_queue) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let (in_queue, incoming) = mpsc::channel(RECEIVE_QUEUE_MESSAGES);
    let path = request.uri().path().to_owned();
    let incoming = Incoming { path, peer, outgoing, incoming };
    let outbound = send_frames(body, out_queue);
    let handled = handler.handle(incoming);
    let inbound = receive_frames(request.into_body(), in_queue);
    // The stream stays open until the handler has returned and its queued messages are sent.
    tokio::join!(outbound, handled, inbound);
}
