use geraniumpost_core::{
    Millis,
    jobs::{LeaseHolder, Takeover},
};

use crate::entry::EntryContext;

/// Returns the earlier planners that are known to have stopped.
///
/// A beat proves it if it was heard after the takeover and either says that its entry doesn't plan,
/// or comes from a later process of that entry. Older beats prove nothing: the entry may have begun
/// to plan since.
pub(super) fn gone(cx: &EntryContext, takeover: &Takeover, now: Millis) -> Vec<LeaseHolder> {
    let peers = cx.peers();
    let fresh: Vec<_> = peers
        .beats(now)
        .filter(|(_, age_ms)| *age_ms < now.since(takeover.at))
        .map(|(beat, _)| (&beat.peer.name, beat.incarnation, beat.term))
        .collect();
    let stopped = |holder: &&LeaseHolder| {
        let restarted_here = holder.name == cx.me.name && holder.incarnation != cx.me.incarnation;
        let said = fresh.iter().any(|&(name, incarnation, term)| {
            *name == holder.name && (incarnation != holder.incarnation || term == 0)
        });
        restarted_here || said
    };
    takeover.earlier.iter().filter(stopped).cloned().collect()
}
