use proptest::prelude::*;

/// One thing that goes wrong, for a while where that makes sense (in milliseconds).
#[derive(Debug, Clone)]
pub enum Fault {
    StoreOutage(u64),
    RepliesLost(u64),
    EntryKilled(usize),
    EntryFrozen(usize, u64),
    EntryCut(usize, u64),
    AgentRestarted(usize),
    AgentFrozen(usize, u64),
    LinkCut(usize, usize, u64),
    VmLost(usize),
    Evict,
    Cancel(u64),
}

pub fn fault() -> impl Strategy<Value = Fault> {
    let span = 500..15_000_u64;
    prop_oneof![
        span.clone().prop_map(Fault::StoreOutage),
        span.clone().prop_map(Fault::RepliesLost),
        (0..2_usize).prop_map(Fault::EntryKilled),
        (0..2_usize, span.clone()).prop_map(|(at, ms)| Fault::EntryFrozen(at, ms)),
        (0..2_usize, span.clone()).prop_map(|(at, ms)| Fault::EntryCut(at, ms)),
        (0..3_usize).prop_map(Fault::AgentRestarted),
        (0..3_usize, span.clone()).prop_map(|(at, ms)| Fault::AgentFrozen(at, ms)),
        (0..2_usize, 0..3_usize, span).prop_map(|(e, a, ms)| Fault::LinkCut(e, a, ms)),
        (0..3_usize).prop_map(Fault::VmLost),
        Just(Fault::Evict),
        any::<u64>().prop_map(Fault::Cancel),
    ]
}

/// Faults with the time of each, spread over half a minute.
pub fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0..30_000_u64, fault()), 0..12).prop_map(|mut faults| {
        faults.sort_by_key(|(at, _)| *at);
        faults
    })
}
