//! Requests to the voters of a silent coordinator to release their promises to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_batch::quorum::{Releases, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMATION_VALIDITY_MS;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::super::{BootClock, FromPeer, ToPeer};
use super::driver::Input;
use super::local_promises::LocalPromises;
use super::peers::{Peers, request};

/// Pause between two rounds of requests.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The term of a silent coordinator, with the voters whose releases end it.
#[derive(Debug)]
pub struct SilentTerm {
    /// Address of the silent coordinator.
    pub address: SocketAddr,
    /// Number of the term.
    pub term: u64,
    /// Entries whose support the coordinator needs to extend leases.
    pub voters: Voters,
}

/// Requests releases on behalf of a successor.
#[derive(Debug, Clone)]
pub struct ReleaseRequester {
    /// Term of the successor.
    pub term: u64,
    /// When the successor's term began, on the boot clock.
    pub term_began_ms: u64,
    /// Promises of the successor's own process, which may be a voter as well.
    pub promises: Arc<LocalPromises>,
    /// The other entries.
    pub peers: Arc<Peers>,
}

/// The release that one entry has granted.
struct GrantedRelease {
    node: Name,
    incarnation: u64,
    remaining_ms: u64,
}

impl ReleaseRequester {
    /// Repeats the requests until enough voters have released their promises, and reports until
    /// when the silent coordinator may have extended leases. Does nothing for a term without
    /// voters.
    pub async fn collect_releases(self, silent: SilentTerm, inputs: mpsc::Sender<Input>) {
        let mut releases = Releases::new(silent.voters);
        if releases.voters_without_response().next().is_none() {
            return;
        }
        let remaining_ms = self.promises.release(self.term);
        let (local_node, incarnation) = (self.promises.node(), self.promises.incarnation());
        releases.record(local_node, incarnation, remaining_ms, BootClock.now_ms());
        while !inputs.is_closed() {
            if let Some(released_ms) = releases.support_end_ms() {
                // The store may have confirmed the silent coordinator's term until the takeover.
                let until_ms = released_ms.max(self.term_began_ms + STORE_CONFIRMATION_VALIDITY_MS);
                spdlog::info!(
                    "event=predecessor_released term={} entries={} until_in_ms={}",
                    silent.term,
                    releases.response_count(),
                    until_ms.saturating_sub(BootClock.now_ms())
                );
                let address = silent.address;
                // Sending fails only if the successor's own term has ended.
                let _ = inputs.send(Input::PredecessorExtendsUntil { address, until_ms }).await;
                return;
            }
            self.request_unanswered(&mut releases).await;
            if releases.support_end_ms().is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends requests to all voters that have not answered, in parallel.
    async fn request_unanswered(&self, releases: &mut Releases) {
        let mut requests = JoinSet::new();
        for node in releases.voters_without_response().cloned().collect::<Vec<_>>() {
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

/// Requests the release of one entry. A response by another entry that now uses its address does
/// not count.
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
