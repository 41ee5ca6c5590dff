//! Which revision is in force, against a naive twin, with outages and restarts.

use geraniumpost_core::Millis;
use geraniumpost_core::config::{Adoption, AdoptionAction, AdoptionEvent, Source};
use geraniumpost_schema::Name;
use proptest::prelude::*;

const GATHER_MS: u64 = 500;

/// What a process may hear; documents stand for themselves by their revision.
#[derive(Debug, Clone)]
enum Heard {
    Offer(u8, u64),
    Document(u8, u64),
    Store(u64),
    StoreEmpty,
    Wait(u64),
    Restart,
}

fn heard() -> impl Strategy<Value = Vec<Heard>> {
    let one = prop_oneof![
        4 => (0..4_u8, 1..20_u64).prop_map(|(peer, revision)| Heard::Offer(peer, revision)),
        4 => (0..4_u8, 1..20_u64).prop_map(|(peer, revision)| Heard::Document(peer, revision)),
        1 => (1..20_u64).prop_map(Heard::Store),
        1 => Just(Heard::StoreEmpty),
        3 => (0..400_u64).prop_map(Heard::Wait),
        1 => Just(Heard::Restart),
    ];
    prop::collection::vec(one, 0..80)
}

fn peer(number: u8) -> Source {
    Source::Peer(Name::from(format!("entry-{number}")))
}

/// The naive twin keeps everything heard since the start and works the answer out anew each time.
#[derive(Default)]
struct Naive {
    documents: Vec<(u64, u64, bool)>,
    store_empty_at: Option<u64>,
    ticks: Vec<u64>,
    started: u64,
}

impl Naive {
    /// In force is the highest document heard, but nothing before the gathering is over: at the
    /// store's word, or at the first tick or document after its time when there is a document.
    fn in_force(&self) -> u64 {
        let until = self.started + GATHER_MS;
        let highest = self.documents.iter().map(|(_, revision, _)| *revision).max();
        let by_store = self.documents.iter().any(|(_, _, store)| *store);
        let late = self.documents.iter().any(|(at, ..)| *at >= until);
        let first = self.documents.iter().map(|(at, ..)| *at).min();
        let ticked = self.ticks.iter().any(|at| *at >= until && first.is_some_and(|f| f <= *at));
        let over = by_store || self.store_empty_at.is_some() || late || ticked;
        if over { highest.unwrap_or(0) } else { 0 }
    }
}

fn as_event(heard: &Heard) -> Option<AdoptionEvent<u64>> {
    Some(match *heard {
        Heard::Offer(from, revision) => AdoptionEvent::Offered { source: peer(from), revision },
        Heard::Document(from, revision) => {
            AdoptionEvent::Received { source: peer(from), revision, document: revision }
        }
        Heard::Store(revision) => {
            AdoptionEvent::Received { source: Source::Store, revision, document: revision }
        }
        Heard::StoreEmpty => AdoptionEvent::StoreEmpty,
        Heard::Wait(_) => AdoptionEvent::Tick,
        Heard::Restart => return None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn in_force_is_what_the_naive_twin_says(script in heard()) {
        let mut now = 0;
        let mut adoption = Adoption::new(GATHER_MS);
        let mut naive = Naive::default();
        adoption.handle(AdoptionEvent::Started, Millis(now));
        for heard in script {
            match heard {
                Heard::Wait(ms) => {
                    now += ms;
                    naive.ticks.push(now);
                }
                Heard::Document(_, revision) => naive.documents.push((now, revision, false)),
                Heard::Store(revision) => naive.documents.push((now, revision, true)),
                Heard::StoreEmpty => naive.store_empty_at = Some(now),
                Heard::Offer(..) | Heard::Restart => {}
            }
            let Some(event) = as_event(&heard) else {
                adoption = Adoption::new(GATHER_MS);
                adoption.handle(AdoptionEvent::Started, Millis(now));
                naive = Naive { started: now, ..Naive::default() };
                continue;
            };
            let before = adoption.in_force();
            for action in adoption.handle(event, Millis(now)) {
                if let AdoptionAction::Adopt { revision, document } = action {
                    prop_assert!(revision > before, "never a lower revision");
                    prop_assert_eq!(revision, document);
                }
            }
            prop_assert_eq!(adoption.in_force(), naive.in_force());
        }
    }

    /// Entries hear of each other's revisions by heartbeats, some of which are lost, while the
    /// store is down and processes restart. Once messages pass, everyone must have the highest.
    #[test]
    fn everyone_ends_at_the_highest_revision(
        first in prop::collection::vec(0..30_u64, 2..6),
        losses in prop::collection::vec(any::<bool>(), 0..200),
        restarts in prop::collection::vec(0..6_usize, 0..4),
    ) {
        let mut cluster = Cluster::new(&first);
        let highest = first.iter().copied().max().unwrap_or(0);
        let mut losses = losses.into_iter();
        let mut restarts = restarts.into_iter();
        for round in 0..60 {
            if round % 10 == 5 && let Some(index) = restarts.next() {
                cluster.restart_unless_highest(index % first.len(), highest);
            }
            cluster.round(|| losses.next().unwrap_or(false));
        }
        // Three seconds without losses: gathering, one lost fetch and a repeat fit in.
        for _ in 0..15 {
            cluster.round(|| false);
        }
        let in_force: Vec<u64> = cluster.nodes.iter().map(Adoption::in_force).collect();
        prop_assert_eq!(in_force, vec![highest; first.len()]);
    }
}

/// Processes that exchange offers and documents directly.
struct Cluster {
    nodes: Vec<Adoption<u64>>,
    now: u64,
}

impl Cluster {
    fn new(revisions: &[u64]) -> Self {
        let mut cluster = Self { nodes: Vec::new(), now: 0 };
        for &revision in revisions {
            let mut node = Adoption::new(GATHER_MS);
            node.handle(AdoptionEvent::Started, Millis(0));
            if revision > 0 {
                let source = Source::Store;
                let event = AdoptionEvent::Received { source, revision, document: revision };
                node.handle(event, Millis(0));
            }
            cluster.nodes.push(node);
        }
        cluster
    }

    /// The last holder of a revision cannot be restarted without losing it; the store is what
    /// keeps it then.
    fn restart_unless_highest(&mut self, index: usize, highest: u64) {
        let holders = self.nodes.iter().filter(|node| node.in_force() == highest).count();
        if self.nodes[index].in_force() < highest || holders > 1 {
            self.nodes[index] = Adoption::new(GATHER_MS);
            self.nodes[index].handle(AdoptionEvent::Started, Millis(self.now));
        }
    }

    fn round(&mut self, mut lost: impl FnMut() -> bool) {
        self.now += 200;
        for to in 0..self.nodes.len() {
            for from in 0..self.nodes.len() {
                let revision = self.nodes[from].in_force();
                if from == to || revision == 0 || lost() {
                    continue;
                }
                let source = Source::Peer(Name::from(from.to_string()));
                let offer = AdoptionEvent::Offered { source: source.clone(), revision };
                let wanted = self.nodes[to].handle(offer, Millis(self.now));
                if !wanted.is_empty() && !lost() {
                    let event = AdoptionEvent::Received { source, revision, document: revision };
                    self.nodes[to].handle(event, Millis(self.now));
                }
            }
            self.nodes[to].handle(AdoptionEvent::Tick, Millis(self.now));
        }
    }
}

/// An entry restarts while the store is down; the peer that answers first is behind. Adopting its
/// answer at once would put an old limit in force again for a moment.
#[test]
fn a_restart_in_an_outage_takes_the_highest_of_its_peers() {
    let mut adoption = Adoption::new(GATHER_MS);
    assert_eq!(adoption.handle(AdoptionEvent::Started, Millis(0)), vec![AdoptionAction::FetchAll]);
    let received = |number, revision| AdoptionEvent::Received {
        source: peer(number),
        revision,
        document: revision,
    };
    assert_eq!(adoption.handle(received(1, 5), Millis(10)), vec![]);
    assert_eq!(adoption.handle(received(2, 7), Millis(20)), vec![]);
    let adopt = AdoptionAction::Adopt { revision: 7, document: 7 };
    assert_eq!(adoption.handle(AdoptionEvent::Tick, Millis(500)), vec![adopt]);
    assert_eq!(adoption.handle(received(1, 5), Millis(600)), vec![]);
}

/// A newer program has written a document that this one cannot read. Fetching it at each heartbeat
/// would load the network for nothing; the next revision is fetched again.
#[test]
fn an_unreadable_revision_is_not_fetched_again() {
    let mut adoption: Adoption<u64> = Adoption::new(GATHER_MS);
    let offer = |revision| AdoptionEvent::Offered { source: peer(1), revision };
    assert_eq!(adoption.handle(offer(9), Millis(0)).len(), 1);
    adoption.handle(AdoptionEvent::Unreadable { revision: 9 }, Millis(1));
    assert_eq!(adoption.handle(offer(9), Millis(5000)), vec![]);
    assert_eq!(adoption.handle(offer(10), Millis(5000)).len(), 1);
}

/// The answer to a fetch is lost; without a time limit the revision would never be asked for again.
#[test]
fn a_lost_fetch_is_repeated() {
    let mut adoption: Adoption<u64> = Adoption::new(GATHER_MS);
    let offer = || AdoptionEvent::Offered { source: peer(1), revision: 9 };
    assert_eq!(adoption.handle(offer(), Millis(0)).len(), 1);
    assert_eq!(adoption.handle(offer(), Millis(999)), vec![]);
    assert_eq!(adoption.handle(offer(), Millis(1000)).len(), 1);
}

/// Nobody answers a starting process; it must go on asking.
#[test]
fn a_process_without_any_answer_asks_again() {
    let mut adoption: Adoption<u64> = Adoption::new(GATHER_MS);
    adoption.handle(AdoptionEvent::Started, Millis(0));
    assert_eq!(adoption.handle(AdoptionEvent::Tick, Millis(600)), vec![]);
    assert_eq!(adoption.handle(AdoptionEvent::Tick, Millis(1000)), vec![AdoptionAction::FetchAll]);
}
