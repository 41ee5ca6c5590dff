//! Stand-in of a minion: an HTTP/1.1 server whose answers can be checked byte by byte.
//!
//! A request's `X-Work-Ms` header (or `work_ms` in the query) gives its service time, and
//! `X-Answer-Bytes` (or `answer_bytes`) the least size of its answer, see [`expected_answer`].
//! A run goes on when its caller disconnects, as that of a real back end may; a caller that frees
//! the slot then overfills the minion, which the counts show.

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
