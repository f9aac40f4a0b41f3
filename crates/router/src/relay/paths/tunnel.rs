//! Connections to backend servers by way of another router.
//!
//! A router without a path to a server opens a connection to another router and names
//! the server. That one connects to it, if it lists the server and has a path itself; it
//! never asks a third one. The request then passes as it is, and the answer in frames, of
//! which an empty one is the last: a connection that ends without it, as when the other
//! router is killed, is not taken for the end of the answer.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt, stream};
use poplar_base::log;
use poplar_core::deployment::Server;
use poplar_core::id::Name;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use crate::relay::listeners::ACCEPT_RETRY_DELAY;
use crate::relay::state::Relay;
use crate::relay::upstream::{self, ConnectError};

/// Time in which the other router answers whether it has connected: longer than it waits
/// for the server.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest frame in bytes.
const MAX_FRAME_BYTES: usize = 8 << 10;
/// Most connections for other routers at a time; each takes two buffers of a frame.
const MAX_TUNNELS: usize = 256;

/// Why another router gave no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelError {
    /// The server refused it.
    Refused,
    /// The server did not answer, or the router knows that it has no path either.
    NoPath,
    /// The router did not answer.
    NoAnswer,
    /// The router is in none of the regions to which the request is confined, or does
    /// not say that it is in one.
    OtherRegion,
}

impl TunnelError {
    /// The reason in fixed words.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoPath => "no path",
            Self::NoAnswer => "no answer",
            Self::OtherRegion => "other region",
        }
    }
}

/// The server that a router asks for.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Ask {
    server: Name,
    started_ms: u64,
    /// Regions in one of which the other router has to be; builds that don't know them
    /// ignore the field and don't confirm it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    within: Option<Vec<Name>>,
}

/// The answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reply {
    Connected,
    /// Connected, by a router in one of the regions that the question names.
    ConnectedWithin,
    Refused,
    NoPath,
    /// The question names regions, and the router is in none of them.
    OtherRegion,
}

impl Ask {
    /// Whether a router in the region `own` may connect.
    fn allows(&self, own: Option<&Name>) -> bool {
        let is_in = |within: &Vec<Name>| own.is_some_and(|own| within.contains(own));
        self.within.as_ref().is_none_or(is_in)
    }

    /// What a reply to it means.
    ///
    /// # Errors
    /// [`TunnelError`] if nothing may be sent.
    fn check(&self, reply: Reply) -> Result<(), TunnelError> {
        match reply {
            Reply::ConnectedWithin => Ok(()),
            Reply::Connected if self.within.is_none() => Ok(()),
            Reply::Connected | Reply::OtherRegion => Err(TunnelError::OtherRegion),
            Reply::Refused => Err(TunnelError::Refused),
            Reply::NoPath => Err(TunnelError::NoPath),
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn encode(message: &impl Serialize) -> Bytes {
    serde_json::to_vec(message)
        .expect("a message can be serialized")
        .into()
}

/// Opens a connection to a server by way of the router at `peer`, which has to be in one
/// of the regions `within` if that is given.
///
/// # Errors
/// [`TunnelError`]; nothing was sent to the server then.
pub async fn open(
    from: IpAddr,
    peer: SocketAddr,
    server: &Server,
    within: Option<&[Name]>,
) -> Result<impl AsyncRead + AsyncWrite + Send + Unpin + 'static, TunnelError> {
    let stream = upstream::dial(from, peer).await;
    let stream = stream.map_err(|_| TunnelError::NoAnswer)?;
    let (read, write) = stream.into_split();
    let mut frames = FramedRead::new(read, codec());
    let mut asks = FramedWrite::new(write, codec());
    let ask = Ask {
        server: server.id.clone(),
        started_ms: server.started_ms,
        within: within.map(<[Name]>::to_vec),
    };
    let exchange = async {
        asks.send(encode(&ask)).await.ok()?;
        let reply = frames.next().await?.ok()?;
        serde_json::from_slice(&reply).ok()
    };
    match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Some(reply)) => ask.check(reply)?,
        Ok(None) | Err(_) => return Err(TunnelError::NoAnswer),
    }
    let answer = stream::try_unfold(frames, |mut frames| async move {
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => Ok(None),
            Some(Ok(frame)) => Ok(Some((frame.freeze(), frames))),
            Some(Err(why)) => Err(why),
            None => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
        }
    });
    let reader = StreamReader::new(Box::pin(answer));
    Ok(tokio::io::join(reader, asks.into_inner()))
}

/// Connects to servers for other routers until the process ends.
pub async fn run(relay: Arc<Relay>) {
    let address = SocketAddr::new(relay.settings.ip, relay.settings.internal_ports.0);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        // Other routers ask another one.
        Err(why) => return log::error("tunnels disabled").reason(why).write(),
    };
    let most = relay.shares.tunnels.unwrap_or(MAX_TUNNELS);
    let places = Arc::new(Semaphore::new(most.min(MAX_TUNNELS)));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        if !relay.budgets.peers().contains(&from.ip()) {
            continue;
        }
        let relay = relay.clone();
        tokio::spawn(async move {
            // A connection that fails here also ends at the other router.
            let _ = serve(&relay, stream).await;
            drop(place);
        });
    }
}

async fn serve(relay: &Arc<Relay>, stream: TcpStream) -> io::Result<()> {
    // A planned stop waits for it, as for the requests of this router.
    let _open = relay.open_request();
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut asks = FramedRead::new(read, codec());
    let mut answers = FramedWrite::new(write, codec());
    let Ok(Some(ask)) = timeout(ANSWER_TIMEOUT, asks.next()).await else {
        return Ok(());
    };
    let ask: Ask = serde_json::from_slice(&ask?)?;
    if !ask.allows(relay.settings.regions.own.as_ref()) {
        return answers.send(encode(&Reply::OtherRegion)).await;
    }
    let listed = relay.servers.find(&ask.server, ask.started_ms);
    let listed = listed.filter(|server| !relay.servers.is_evacuated(server));
    let connected = match &listed {
        // The answer might not be complete before this process ends.
        Some(_) if relay.is_stopping() => Err(ConnectError::NoAnswer),
        Some(server) => relay.paths.dial_for_peer(server).await,
        None => Err(ConnectError::NoAnswer),
    };
    let reply = match &connected {
        Ok(_) if ask.within.is_some() => Reply::ConnectedWithin,
        Ok(_) => Reply::Connected,
        Err(ConnectError::Refused) => Reply::Refused,
        Err(ConnectError::NoAnswer) => Reply::NoPath,
    };
    answers.send(encode(&reply)).await?;
    let (Some(listed), Ok(server)) = (listed, connected) else {
        return Ok(());
    };
    let (from_server, mut to_server) = server.into_split();
    // The other router sends nothing of the request until it has the reply, and closes
    // its side when it has or wants no more of the answer.
    let mut from_router = asks.into_inner();
    let forward = async {
        // The other router may not know yet that the data centre is evacuated.
        let length = from_router.peek(&mut [0]).await?;
        if length > 0 && relay.servers.is_evacuated(&listed) {
            return Err(io::Error::other("evacuated"));
        }
        tokio::io::copy(&mut from_router, &mut to_server).await
    };
    tokio::select! {
        ended = forward => ended.map(drop),
        ended = forward_answer(from_server, &mut answers) => ended,
    }
}

async fn forward_answer(
    mut from: OwnedReadHalf,
    to: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
) -> io::Result<()> {
    let mut chunk = BytesMut::with_capacity(MAX_FRAME_BYTES);
    loop {
        chunk.reserve(MAX_FRAME_BYTES);
        let mut limited = (&mut from).take(MAX_FRAME_BYTES as u64);
        let length = limited.read_buf(&mut chunk).await?;
        to.send(chunk.split().freeze()).await?;
        if length == 0 {
            return Ok(());
        }
    }
}
