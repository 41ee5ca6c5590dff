//! Messages of agents, as read and written by earlier versions.

use geraniumpost_batch::FromAgent;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// The messages of agents as earlier versions know them, up to the variant that was extended.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierFromAgent {
    Hello { agent: Name },
    Heartbeat { sent_at_ms: u64, minion_ok: bool },
    Minion(geraniumpost_batch::MinionInfo),
    MinionTerminated { minion: Name },
}

/// Entries and agents are replaced one by one. If either version could not read the other's report
/// of a termination, their link would close each time the report is repeated.
#[test]
fn termination_reports_are_read_across_versions() {
    let earlier = EarlierFromAgent::MinionTerminated { minion: "m1".into() };
    let bytes = postcard::to_stdvec(&earlier).expect("the message can be encoded");
    let read: FromAgent = postcard::from_bytes(&bytes).expect("an earlier message is read");
    assert_eq!(read, FromAgent::MinionTerminated { minion: "m1".into(), crashed: false });
    let current = FromAgent::MinionTerminated { minion: "m1".into(), crashed: true };
    let bytes = postcard::to_stdvec(&current).expect("the message can be encoded");
    assert_eq!(postcard::from_bytes::<FromAgent>(&bytes), Ok(current));
    assert_eq!(postcard::from_bytes::<EarlierFromAgent>(&bytes), Ok(earlier));
}
