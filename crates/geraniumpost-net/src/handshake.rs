use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use geraniumpost_schema::{Challenge, Hello, Link, Name, Proof};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Frame, FrameReader, NetError, SharedKey, encode_frame};

/// Longest time a connection may take from its start to the end of the handshake. A stranger that
/// connects and stays silent is dropped after it.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest handshake frame in bytes: a stranger can make this process hold no more than that.
const LARGEST: usize = 1024;

/// Purposes of the two proofs; they differ, so that one side cannot return the other's proof.
const ACCEPTING: &[u8] = b"geraniumpost link 1 accepting";
const CONNECTING: &[u8] = b"geraniumpost link 1 connecting";

/// Who a process is on its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name from the settings.
    pub name: Name,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
}

/// A connection whose both sides are proved, ready for [`open_link`](crate::open_link).
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    /// Bytes read ahead: the connecting side sends its first frames right behind its proof, so
    /// they may arrive with it, and a reader that dropped them would lose a request silently.
    pub(crate) read_ahead: BytesMut,
}

impl From<FrameReader<TcpStream>> for Connection {
    fn from(reader: FrameReader<TcpStream>) -> Self {
        let (stream, read_ahead) = reader.into_parts();
        Self { stream, read_ahead }
    }
}

/// Connects to `address` and proves both sides.
///
/// # Errors
///
/// Fails if the other side is away, silent for [`HANDSHAKE_TIMEOUT`] or a stranger.
pub async fn connect(
    address: SocketAddr,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        prove_connecting(stream, me, key).await
    };
    timeout(HANDSHAKE_TIMEOUT, connecting).await.unwrap_or(Err(NetError::TimedOut))
}

/// Accepts a link on a fresh connection and proves both sides.
///
/// # Errors
///
/// Fails if the other side leaves, is silent for [`HANDSHAKE_TIMEOUT`] or is a stranger.
pub async fn accept(
    stream: TcpStream,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    stream.set_nodelay(true)?;
    let accepting = prove_accepting(stream, me, key);
    timeout(HANDSHAKE_TIMEOUT, accepting).await.unwrap_or(Err(NetError::TimedOut))
}

async fn prove_connecting(
    stream: TcpStream,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    let mut reader = FrameReader::new(stream).largest(LARGEST);
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

async fn prove_accepting(
    stream: TcpStream,
    me: &Identity,
    key: &SharedKey,
) -> Result<(Connection, Identity), NetError> {
    let mut reader = FrameReader::new(stream).largest(LARGEST);
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

/// Returns the proof over everything both sides said, in hexadecimal digits.
fn prove(key: &SharedKey, purpose: &[u8], hello: &Hello, challenge: &Challenge) -> Name {
    let (h, c) = (numbers(hello), answer_numbers(challenge));
    let proof = key.prove(&[purpose, hello.name.as_bytes(), &h, challenge.name.as_bytes(), &c]);
    let mut text = String::with_capacity(2 * proof.len());
    for byte in proof {
        let _ = write!(text, "{byte:02x}");
    }
    Name::from(text)
}

fn verify(
    key: &SharedKey,
    purpose: &[u8],
    hello: &Hello,
    challenge: &Challenge,
    proof: &str,
) -> bool {
    let Some(proof) = from_hex(proof) else { return false };
    let (h, c) = (numbers(hello), answer_numbers(challenge));
    key.verify(&[purpose, hello.name.as_bytes(), &h, challenge.name.as_bytes(), &c], &proof)
}

/// Reads a full proof from its hexadecimal digits; a shortened one is refused, since each digit
/// left out would make it easier to guess.
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

fn numbers(hello: &Hello) -> [u8; 16] {
    pair(hello.incarnation, hello.nonce)
}

fn answer_numbers(challenge: &Challenge) -> [u8; 16] {
    pair(challenge.incarnation, challenge.nonce)
}

fn pair(a: u64, b: u64) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    bytes
}
