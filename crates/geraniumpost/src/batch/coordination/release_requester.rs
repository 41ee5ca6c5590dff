//! A successor asks entries to support its silent predecessor no more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::quorum::{Releases, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMATION_MS;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::super::{BootClock, FromPeer, ToPeer};
use super::driver::Input;
use super::local_promises::LocalPromises;
use super::peers::{Peers, request};

/// Pause between two rounds of questions.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A coordinator that fell silent, and who decides when it has ended.
#[derive(Debug)]
pub struct SilentTerm {
    /// Where it was.
    pub address: SocketAddr,
    /// Its term.
    pub term: u64,
    /// Whose support it needs.
    pub voters: Voters,
}

/// Who asks, and whom.
#[derive(Debug, Clone)]
pub struct ReleaseRequester {
    /// The term of the successor.
    pub term: u64,
    /// When the store had given it the term, on the boot clock.
    pub term_began_ms: u64,
    /// The promises of its own process.
    pub promises: Arc<LocalPromises>,
    /// The other entries.
    pub peers: Arc<Peers>,
}

/// The answer of an entry.
struct GrantedRelease {
    node: Name,
    incarnation: u64,
    remaining_ms: u64,
}

impl ReleaseRequester {
    /// Asks until enough voters of a silent coordinator support it no more, and says when its last extension
    /// of a lease can have been.
    pub async fn collect_releases(self, silent: SilentTerm, inputs: mpsc::Sender<Input>) {
        let mut releases = Releases::new(silent.voters);
        if releases.unanswered().next().is_none() {
            return;
        }
        let remaining_ms = self.promises.release(self.term);
        let (local_node, incarnation) = (self.promises.node(), self.promises.incarnation());
        releases.record(local_node, incarnation, remaining_ms, BootClock.now_ms());
        while !inputs.is_closed() {
            if let Some(released_ms) = releases.support_end_ms() {
                // The store may have confirmed it until the moment of the takeover.
                let until_ms = released_ms.max(self.term_began_ms + STORE_CONFIRMATION_MS);
                spdlog::info!(
                    "event=predecessor_released term={} entries={} until_in_ms={}",
                    silent.term,
                    releases.count(),
                    until_ms.saturating_sub(BootClock.now_ms())
                );
                let address = silent.address;
                // A term that ended meanwhile needs no word of it.
                let _ = inputs.send(Input::PredecessorExtendsUntil { address, until_ms }).await;
                return;
            }
            self.request_missing(&mut releases).await;
            if releases.support_end_ms().is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Asks those that have not answered, all at once.
    async fn request_missing(&self, releases: &mut Releases) {
        let mut requests = JoinSet::new();
        for node in releases.unanswered().cloned().collect::<Vec<_>>() {
            if let Some(address) = self.peers.address(&node) {
                requests.spawn(request_release(node, address, self.term));
            }
        }
        while let Some(response) = requests.join_next().await {
            let Some(response) = response.ok().flatten() else { continue };
            let GrantedRelease { node, incarnation, remaining_ms } = response;
            releases.record(&node, incarnation, remaining_ms, BootClock.now_ms());
            if releases.support_end_ms().is_some() {
                return;
            }
        }
    }
}

/// Asks one entry. The answer of another one that has taken its address says nothing of it.
async fn request_release(node: Name, address: SocketAddr, term: u64) -> Option<GrantedRelease> {
    match request(address, FromPeer::Release { term }).await? {
        ToPeer::ReleaseResponse { node: responder, incarnation, remaining_ms }
            if responder == node =>
        {
            Some(GrantedRelease { node, incarnation, remaining_ms })
        }
        _ => None,
    }
}
