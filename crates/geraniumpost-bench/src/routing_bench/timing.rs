use std::hint::black_box;
use std::time::Instant;

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{AgentView, Location, RoutingQuery, Snapshot};
use geraniumpost_schema::Load;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use super::policy_kind::PolicyKind;

/// Decisions that are timed together, because a clock call per decision would take a considerable
/// part of the measured time.
const BATCH: u64 = 1_000;

/// Prints the duration of one decision, including the counting of requests in flight, for the
/// present and the expected fleet sizes.
pub fn print(decisions: u64, seed: u64) {
    println!("one decision in ns, median of batches of {BATCH} (worst batch), {decisions} each");
    println!("policy                   11 agents         100 agents         570 agents");
    for kind in PolicyKind::ALL {
        if matches!(kind, PolicyKind::WithoutEjection | PolicyKind::Hedged) {
            continue;
        }
        let cells = [11, 100, 570].map(|agents| cell(kind, agents, decisions, seed));
        println!("{:<17} {}", kind.title(), cells.join(" "));
    }
}

fn cell(kind: PolicyKind, agents: usize, decisions: u64, seed: u64) -> String {
    let is_slow = !matches!(kind, PolicyKind::Product);
    let decisions = if is_slow { decisions / 20 } else { decisions };
    let mut batches = time_batches(kind, agents, decisions.max(BATCH), seed);
    batches.sort_unstable();
    let median = batches[batches.len() / 2];
    format!("{:>8} ({:>6})", median, batches[batches.len() - 1])
}

/// Returns a fleet in four failure domains whose agents have different loads.
fn fleet(agents: usize, rng: &mut SmallRng) -> Snapshot {
    let domains = ["miraflores", "surco", "callao", "ate"];
    let views: Vec<AgentView> = (0..agents)
        .map(|n| {
            let location = Location::new("lima", domains[n % domains.len()]);
            let view =
                AgentView::new(format!("a{n}"), n as u64).service("filing").at_location(location);
            let in_flight = rng.next_u32() % 8;
            let load = Load { in_flight, service_us: 5_000, ..Load::default() };
            view.counters().record_load(&load, Millis(0));
            view
        })
        .collect();
    Snapshot::new(views, &Location::new("lima", "surco"))
}

/// Returns the nanoseconds per decision of each batch.
fn time_batches(kind: PolicyKind, agents: usize, decisions: u64, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let snapshot = fleet(agents, &mut rng);
    let mut policy = kind.create_policy(0);
    let batches = (0..decisions / BATCH).map(|_| {
        let start = Instant::now();
        for _ in 0..BATCH {
            let service = snapshot.service("filing").expect("the fleet has agents of the service");
            let query = RoutingQuery::new(Millis(100));
            let choice = policy.choose(service, &query, &mut rng).expect("all agents are ready");
            black_box(choice.agent().counters().begin_request());
        }
        start.elapsed().as_nanos() as u64 / BATCH
    });
    batches.collect()
}
