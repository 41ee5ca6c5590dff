//! Frames, datagrams and handshakes against damage and strangers.

use assert_matches::assert_matches;
use bytes::{Bytes, BytesMut};
use geraniumpost_net::{
    Frame, FrameReader, Identity, MAX_HEAD_BYTES, NetError, SharedKey, accept, connect,
    encode_frame, open_datagram, open_link, seal_datagram,
};
use geraniumpost_schema::{Datagram, HeartbeatAck, RequestId, ToAgent, ToEntry};
use proptest::prelude::*;
use tokio::net::{TcpListener, TcpStream};

fn key() -> SharedKey {
    SharedKey::from("the deployment's shared key")
}

fn me(name: &str) -> Identity {
    Identity { name: name.into(), incarnation: 1 }
}

fn ack(sequence: u64) -> Datagram {
    Datagram::HeartbeatAck(HeartbeatAck {
        entry: "entry-1".into(),
        sequence,
        incarnation: 1,
        config_revision: 2,
        term: 3,
        hold_ms: 4,
        entries_digest: 5,
        entries: vec![],
    })
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

proptest! {
    /// Damaged or foreign bytes reach every port that is open to the network. A process that
    /// panicked on them would take its requests with it.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        prop_assert!(open_datagram(&key(), &bytes).is_err());
        runtime().block_on(async {
            let mut reader = FrameReader::new(&bytes[..]);
            while let Ok(Some(_)) = reader.next::<ToAgent>().await {}
        });
    }

    /// One flipped bit anywhere in a datagram makes it a stranger's.
    #[test]
    fn flipped_bit_is_refused(sequence: u64, at: prop::sample::Index, bit in 0..8_u8) {
        let mut sealed = seal_datagram(&key(), &ack(sequence)).unwrap();
        prop_assert_eq!(open_datagram(&key(), &sealed).unwrap(), ack(sequence));
        let at = at.index(sealed.len());
        sealed[at] ^= 1 << bit;
        prop_assert!(open_datagram(&key(), &sealed).is_err());
    }

    /// Frames arrive in pieces of any size and come out as they went in.
    #[test]
    fn frames_survive_any_cut(bodies in proptest::collection::vec(0..5000_usize, 1..8)) {
        let mut buf = BytesMut::new();
        for (i, len) in bodies.iter().enumerate() {
            let head = ToAgent::Cancel(RequestId { entry: 1, sequence: i as u64 });
            encode_frame(&Frame { head, body: Bytes::from(vec![7; *len]) }, &mut buf).unwrap();
        }
        let cut_short = buf.len() - 1;
        runtime().block_on(async {
            let mut whole = FrameReader::new(&buf[..]);
            let mut cut = FrameReader::new(&buf[..cut_short]);
            for (i, len) in bodies.iter().enumerate() {
                let frame = whole.next::<ToAgent>().await.unwrap().unwrap();
                assert_eq!(frame.body.len(), *len);
                let again = cut.next::<ToAgent>().await;
                assert_eq!(again.is_ok(), i + 1 < bodies.len(), "a cut frame is never whole");
            }
            assert!(whole.next::<ToAgent>().await.unwrap().is_none());
        });
    }
}

#[test]
fn oversized_lengths_are_refused_before_memory_is_taken() {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&(MAX_HEAD_BYTES as u32 + 1).to_le_bytes());
    bytes.extend_from_slice(&u32::MAX.to_le_bytes());
    let read = runtime().block_on(FrameReader::new(&bytes[..]).next::<ToAgent>());
    assert_matches!(read, Err(NetError::TooLarge(_)));
}

async fn pair() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// The connecting side sends its first frame right behind its proof, and both arrive in one read.
/// A handshake that dropped what it read ahead lost the frame: the caller's first request after a
/// reconnect hung until its deadline.
#[tokio::test]
async fn link_carries_frames_both_ways_and_ends_with_its_senders() {
    let (listener, address) = pair().await;
    let agent = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (stream, peer) = accept(stream, &me("agent-1"), &key()).await.unwrap();
        assert_eq!(peer, me("entry-1"));
        let (tx, mut rx) = open_link::<ToEntry, ToAgent>(stream, |_| {});
        while let Some(frame) = rx.next().await {
            assert_eq!(frame.head, ToAgent::Ping(9));
            tx.send(ToEntry::InForce(9)).unwrap();
        }
    });
    let (stream, peer) = connect(address, &me("entry-1"), &key()).await.unwrap();
    assert_eq!(peer, me("agent-1"));
    let (tx, mut rx) = open_link::<ToAgent, ToEntry>(stream, |_| {});
    tx.send(ToAgent::Ping(9)).unwrap();
    assert_eq!(rx.next().await.unwrap().head, ToEntry::InForce(9));
    drop(tx);
    agent.await.unwrap();
    assert!(rx.next().await.is_none());
}

/// A process of another deployment, or somebody who only found the port, connects. Nothing it says
/// may reach an agent, or it could start tasks there.
#[tokio::test]
async fn stranger_is_refused_by_either_side() {
    let (listener, address) = pair().await;
    let agent = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, &me("agent-1"), &key()).await.map(|_| ())
    });
    let stranger = SharedKey::from("some other shared key");
    assert_matches!(connect(address, &me("entry-9"), &stranger).await, Err(NetError::WrongKey));
    assert_matches!(agent.await.unwrap(), Err(_));
}

/// Somebody connects and sends a huge first frame. The agent would run out of memory if it read
/// the frame before it knew who sent it.
#[tokio::test]
async fn huge_first_frame_is_refused() {
    use tokio::io::AsyncWriteExt;
    let (listener, address) = pair().await;
    let mut stranger = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    stranger.write_u32_le(100).await.unwrap();
    stranger.write_u32_le(1 << 20).await.unwrap();
    assert_matches!(accept(stream, &me("agent-1"), &key()).await, Err(NetError::TooLarge(_)));
}
