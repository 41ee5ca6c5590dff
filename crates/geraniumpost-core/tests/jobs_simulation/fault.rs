use proptest::prelude::*;

/// A fault, with the index of the entry or agent and the duration in milliseconds.
#[derive(Debug, Clone)]
pub enum Fault {
    StoreOutage(u64),
    ResponsesLost(u64),
    EntryKilled(usize),
    EntryPaused(usize, u64),
    EntryCutFromStore(usize, u64),
    AgentRestarted(usize),
    AgentPaused(usize, u64),
    LinkCut(usize, usize, u64),
    VmLost(usize),
    Evict,
    Cancel(u64),
}

pub fn any_fault() -> impl Strategy<Value = Fault> {
    let span = 500..15_000_u64;
    prop_oneof![
        span.clone().prop_map(Fault::StoreOutage),
        span.clone().prop_map(Fault::ResponsesLost),
        (0..2_usize).prop_map(Fault::EntryKilled),
        (0..2_usize, span.clone()).prop_map(|(index, ms)| Fault::EntryPaused(index, ms)),
        (0..2_usize, span.clone()).prop_map(|(index, ms)| Fault::EntryCutFromStore(index, ms)),
        (0..3_usize).prop_map(Fault::AgentRestarted),
        (0..3_usize, span.clone()).prop_map(|(index, ms)| Fault::AgentPaused(index, ms)),
        (0..2_usize, 0..3_usize, span).prop_map(|(e, a, ms)| Fault::LinkCut(e, a, ms)),
        (0..3_usize).prop_map(Fault::VmLost),
        Just(Fault::Evict),
        any::<u64>().prop_map(Fault::Cancel),
    ]
}

/// Faults with the time of each, spread over 30 s.
pub fn fault_schedule() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0..30_000_u64, any_fault()), 0..12).prop_map(|mut faults| {
        faults.sort_by_key(|(at, _)| *at);
        faults
    })
}
