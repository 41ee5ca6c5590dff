//! Frames, datagrams and handshakes with corrupted data and with peers that lack the shared key.

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

fn identity(name: &str) -> Identity {
    Identity { name: name.into(), incarnation: 1 }
}

fn heartbeat_ack(sequence: u64) -> Datagram {
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
    /// Guards against a panic on corrupted or unrelated bytes, which any host on the network can
    /// send; the requests in flight in the process would be lost.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        prop_assert!(open_datagram(&key(), &bytes).is_err());
        runtime().block_on(async {
            let mut reader = FrameReader::new(&bytes[..]);
            while let Ok(Some(_)) = reader.next::<ToAgent>().await {}
        });
    }

    /// Guards against bits of a datagram that the tag does not cover: each flipped bit must be
    /// detected.
    #[test]
    fn flipped_bit_is_rejected(sequence: u64, at: prop::sample::Index, bit in 0..8_u8) {
        let mut sealed = seal_datagram(&key(), &heartbeat_ack(sequence)).unwrap();
        prop_assert_eq!(open_datagram(&key(), &sealed).unwrap(), heartbeat_ack(sequence));
        let at = at.index(sealed.len());
        sealed[at] ^= 1 << bit;
        prop_assert!(open_datagram(&key(), &sealed).is_err());
    }

    /// Guards against errors in the buffering of frames that arrive in several reads, and against
    /// a truncated last frame that is taken for a complete one.
    #[test]
    fn frames_survive_partial_reads(bodies in proptest::collection::vec(0..5000_usize, 1..8)) {
        let mut buf = BytesMut::new();
        for (i, len) in bodies.iter().enumerate() {
            let head = ToAgent::Cancel(RequestId { entry: 1, sequence: i as u64 });
            encode_frame(&Frame { head, body: Bytes::from(vec![7; *len]) }, &mut buf).unwrap();
        }
        let truncated_len = buf.len() - 1;
        runtime().block_on(async {
            let mut complete = FrameReader::new(&buf[..]);
            let mut truncated = FrameReader::new(&buf[..truncated_len]);
            for (i, len) in bodies.iter().enumerate() {
                let frame = complete.next::<ToAgent>().await.unwrap().unwrap();
                assert_eq!(frame.body.len(), *len);
                let next = truncated.next::<ToAgent>().await;
                assert_eq!(next.is_ok(), i + 1 < bodies.len(), "truncated frame accepted");
            }
            assert!(complete.next::<ToAgent>().await.unwrap().is_none());
        });
    }
}

#[test]
fn oversized_lengths_are_rejected_before_allocation() {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&(MAX_HEAD_BYTES as u32 + 1).to_le_bytes());
    bytes.extend_from_slice(&u32::MAX.to_le_bytes());
    let read = runtime().block_on(FrameReader::new(&bytes[..]).next::<ToAgent>());
    assert_matches!(read, Err(NetError::TooLarge(_)));
}

async fn listen() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against losing frames that arrive together with the end of the handshake: the connecting
/// side sends its first frame right after its proof, and both may arrive in one read. A handshake
/// that discarded the rest of the read lost the frame, and the first request after a reconnect
/// waited until its deadline.
#[tokio::test]
async fn link_carries_frames_both_ways_until_senders_are_dropped() {
    let (listener, address) = listen().await;
    let agent = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (stream, peer) = accept(stream, &identity("agent-1"), &key()).await.unwrap();
        assert_eq!(peer, identity("entry-1"));
        let (tx, mut rx) = open_link::<ToEntry, ToAgent>(stream, |_| {});
        while let Some(frame) = rx.next().await {
            assert_eq!(frame.head, ToAgent::Ping(9));
            tx.send(ToEntry::InForce(9)).unwrap();
        }
    });
    let (stream, peer) = connect(address, &identity("entry-1"), &key()).await.unwrap();
    assert_eq!(peer, identity("agent-1"));
    let (tx, mut rx) = open_link::<ToAgent, ToEntry>(stream, |_| {});
    tx.send(ToAgent::Ping(9)).unwrap();
    assert_eq!(rx.next().await.unwrap().head, ToEntry::InForce(9));
    drop(tx);
    agent.await.unwrap();
    assert!(rx.next().await.is_none());
}

/// Guards against a peer without the shared key, such as a process of another deployment or a port
/// scanner, which could otherwise start tasks on an agent.
#[tokio::test]
async fn peer_without_shared_key_is_rejected_by_both_sides() {
    let (listener, address) = listen().await;
    let agent = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, &identity("agent-1"), &key()).await.map(|_| ())
    });
    let other_key = SharedKey::from("some other shared key");
    assert_matches!(
        connect(address, &identity("entry-9"), &other_key).await,
        Err(NetError::WrongKey)
    );
    assert_matches!(agent.await.unwrap(), Err(_));
}

/// Guards against an unauthenticated peer that exhausts the agent's memory with a large first
/// frame.
#[tokio::test]
async fn large_frame_before_authentication_is_rejected() {
    use tokio::io::AsyncWriteExt;
    let (listener, address) = listen().await;
    let mut peer = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    peer.write_u32_le(100).await.unwrap();
    peer.write_u32_le(1 << 20).await.unwrap();
    assert_matches!(accept(stream, &identity("agent-1"), &key()).await, Err(NetError::TooLarge(_)));
}
