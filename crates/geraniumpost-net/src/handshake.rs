use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use geraniumpost_schema::{Challenge, Hello, Link, Name, Proof};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Frame, FrameReader, NetError, SharedKey, encode_frame};

/// Time limit for connecting and the handshake. Afterwards a peer that connected and sends nothing
/// is disconnected.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest handshake frame in bytes, which bounds the memory that a peer can use before it is
/// authenticated.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 1024;

/// Contexts that the two proofs cover. They differ, so that a peer cannot send back the proof that
/// it received (a reflection attack).
const ACCEPTING: &[u8] = b"geraniumpost link 1 accepting";
const CONNECTING: &[u8] = b"geraniumpost link 1 connecting";

/// Identity of a process in the handshake of its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name from the settings.
    pub name: Name,
    /// Random number drawn at each start of the process.
    pub incarnation: u64,
}

/// A mutually authenticated connection, ready for [`open_link`](crate::open_link).
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    /// Bytes read beyond the handshake. The connecting side sends its first frames right after its
    /// proof, so one read may return both; discarding these bytes would silently lose a request.
    pub(crate) read_ahead: BytesMut,
}

impl From<FrameReader<TcpStream>> for Connection {
    fn from(reader: FrameReader<TcpStream>) -> Self {
        let (stream, read_ahead) = reader.into_parts();
        Self { stream, read_ahead }
    }
}

/// Connects to `address`, with mutual authentication.
///
/// # Errors
///
/// Fails if the peer is unreachable, does not complete the handshake within
/// [`HANDSHAKE_TIMEOUT`], or does not have the shared key.
pub async fn connect(
    address: SocketAddr,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        handshake_connecting(stream, me, key).await
    };
    timeout(HANDSHAKE_TIMEOUT, connecting).await.unwrap_or(Err(NetError::TimedOut))
}

/// Performs the handshake of the accepting side, with mutual authentication.
///
/// # Errors
///
/// Fails if the peer disconnects, does not complete the handshake within [`HANDSHAKE_TIMEOUT`], or
/// does not have the shared key.
pub async fn accept(
    stream: TcpStream,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    stream.set_nodelay(true)?;
    let accepting = handshake_accepting(stream, me, key);
    timeout(HANDSHAKE_TIMEOUT, accepting).await.unwrap_or(Err(NetError::TimedOut))
}

async fn handshake_connecting(
    stream: TcpStream,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    let mut reader = FrameReader::new(stream).max_frame_bytes(MAX_HANDSHAKE_FRAME_BYTES);
    let hello = Hello { name: me.name.clone(), incarnation: me.incarnation, nonce: rand::random() };
    send(&mut reader, Link::Hello(hello.clone())).await?;
    let Link::Challenge(challenge) = receive(&mut reader).await? else {
        return Err(NetError::Handshake);
    };
    if !verify(key, ACCEPTING, &hello, &challenge, &challenge.proof) {
        return Err(NetError::WrongKey);
    }
    let proof = prove(key, CONNECTING, &hello, &challenge);
    send(&mut reader, Link::Proof(Proof { proof })).await?;
    let peer = Identity { name: challenge.name, incarnation: challenge.incarnation };
    Ok((reader.into(), peer))
}

async fn handshake_accepting(
    stream: TcpStream,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    let mut reader = FrameReader::new(stream).max_frame_bytes(MAX_HANDSHAKE_FRAME_BYTES);
    let Link::Hello(hello) = receive(&mut reader).await? else {
        return Err(NetError::Handshake);
    };
    let mut challenge = Challenge {
        name: me.name.clone(),
        incarnation: me.incarnation,
        nonce: rand::random(),
        proof: Name::default(),
    };
    challenge.proof = prove(key, ACCEPTING, &hello, &challenge);
    send(&mut reader, Link::Challenge(challenge.clone())).await?;
    let Link::Proof(Proof { proof }) = receive(&mut reader).await? else {
        return Err(NetError::Handshake);
    };
    if !verify(key, CONNECTING, &hello, &challenge, &proof) {
        return Err(NetError::WrongKey);
    }
    let peer = Identity { name: hello.name, incarnation: hello.incarnation };
    Ok((reader.into(), peer))
}

async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    reader: &mut FrameReader<S>,
    head: Link,
) -> Result<(), NetError> {
    let mut buf = BytesMut::new();
    encode_frame(&Frame::from(head), &mut buf)?;
    reader.inner_mut().write_all(&buf).await?;
    Ok(())
}

async fn receive<S: AsyncRead + Unpin>(reader: &mut FrameReader<S>) -> Result<Link, NetError> {
    let frame = reader.next().await?;
    frame.map(|f| f.head).ok_or_else(|| NetError::Io(std::io::ErrorKind::UnexpectedEof.into()))
}

/// Returns the proof over names, incarnations and nonces of both sides, in hexadecimal digits.
fn prove(key: &SharedKey, context: &[u8], hello: &Hello, challenge: &Challenge) -> Name {
    let (h, c) = (hello_bytes(hello), challenge_bytes(challenge));
    let proof = key.prove(&[context, hello.name.as_bytes(), &h, challenge.name.as_bytes(), &c]);
    let mut text = String::with_capacity(2 * proof.len());
    for byte in proof {
        let _ = write!(text, "{byte:02x}");
    }
    Name::from(text)
}

fn verify(
    key: &SharedKey,
    context: &[u8],
    hello: &Hello,
    challenge: &Challenge,
    proof: &str,
) -> bool {
    let Some(proof) = from_hex(proof) else { return false };
    let (h, c) = (hello_bytes(hello), challenge_bytes(challenge));
    key.verify(&[context, hello.name.as_bytes(), &h, challenge.name.as_bytes(), &c], &proof)
}

/// Decodes a proof from its hexadecimal digits. A truncated proof is rejected, because it would be
/// easier to guess.
fn from_hex(text: &str) -> Option<[u8; crate::shared_key::PROOF_BYTES]> {
    let mut proof = [0; crate::shared_key::PROOF_BYTES];
    if !text.is_ascii() || text.len() != 2 * proof.len() {
        return None;
    }
    for (i, byte) in proof.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(proof)
}

fn hello_bytes(hello: &Hello) -> [u8; 16] {
    encode_pair(hello.incarnation, hello.nonce)
}

fn challenge_bytes(challenge: &Challenge) -> [u8; 16] {
    encode_pair(challenge.incarnation, challenge.nonce)
}

fn encode_pair(incarnation: u64, nonce: u64) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&incarnation.to_le_bytes());
    bytes[8..].copy_from_slice(&nonce.to_le_bytes());
    bytes
}
