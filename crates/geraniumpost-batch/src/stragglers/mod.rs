//! Which runs take so much longer than others of their class that a second copy is likely to end
//! first.

mod expected_duration;
mod observed_run;
mod run_durations;

pub use expected_duration::ExpectedDuration;
pub use observed_run::ObservedRun;
pub use run_durations::RunDurations;
