use geraniumpost_core::{
    Millis,
    jobs::{LeaseHolder, Takeover},
};

use crate::entry::EntryContext;

/// Returns the earlier planners that have certainly stopped planning.
///
/// This is certain if an entry's heartbeat received after the takeover reports that the entry does
/// not plan, or comes from another process of the entry. Earlier heartbeats prove nothing, because
/// the entry may have become the planner after it sent them.
pub(super) fn stopped(cx: &EntryContext, takeover: &Takeover, now: Millis) -> Vec<LeaseHolder> {
    let peers = cx.peers();
    let since_takeover: Vec<_> = peers
        .beats(now)
        .filter(|(_, age_ms)| *age_ms < now.since(takeover.at))
        .map(|(beat, _)| (&beat.peer.name, beat.incarnation, beat.term))
        .collect();
    let has_stopped = |holder: &&LeaseHolder| {
        let earlier_self = holder.name == cx.me.name && holder.incarnation != cx.me.incarnation;
        let reported = since_takeover.iter().any(|&(name, incarnation, term)| {
            *name == holder.name && (incarnation != holder.incarnation || term == 0)
        });
        earlier_self || reported
    };
    takeover.earlier.iter().filter(has_stopped).cloned().collect()
}
