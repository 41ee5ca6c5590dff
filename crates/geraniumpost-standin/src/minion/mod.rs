//! Stand-in of a minion: an HTTP/1.1 server whose responses can be verified byte by byte.
//!
//! The header `X-Work-Ms` (or `work_ms` in the query) sets the service time of a request, and
//! `X-Answer-Bytes` (or `answer_bytes`) the minimum length of its response, see
//! [`expected_answer`]. A run continues after its client disconnects, as on a real back end. If the
//! client then reuses the slot, the minion exceeds its slots, which the counts show.

mod answer;
mod counts;
mod event;
mod faults;
mod mode;
mod options;
mod serve;
mod service;
mod shared;

pub use answer::{digest, expected_answer};
pub use counts::MinionCounts;
pub use event::{MinionEvent, MinionEventKind};
pub use faults::MinionFaults;
pub use mode::MinionMode;
pub use options::MinionOptions;
pub use serve::spawn_in_process;
