//! Model of how much best-effort tasks slow down serving tasks on the same minion, learned from
//! measurements of tail latency and processor use.
//!
//! Submitters cannot declare how much tasks on a shared minion interfere; only the tail latencies
//! of serving tasks show the interference. A tail latency grows as in a queue: a task that is busy
//! for a share `u` of the time has a tail latency of `idle / (1 - u)`. In terms of this
//! [utilization](ServingImage::utilization) `u` the causes are additive: the user load of the task,
//! and for each best-effort image a [slope](Slope) times the share of the minion's processors that
//! the image uses. The tail latency itself is not additive; close to its bound, the tail latency
//! grows so fast that a measurement does not show which image caused the growth.
//!
//! The user load of a task changes within tens of seconds and is not reported. The model estimates
//! the user load for each [`ServingGroup`], the tasks of one step on one minion. [`Baseline`] keeps
//! running means of a group's measurements. The user load cancels in the deviation of a measurement
//! from these means, which leaves the effect of the best-effort tasks. [`Slopes`] combines the
//! deviations of all groups of an image and keeps the uncertainty of the result.
//! docs/design/0602-colocation.md has the derivation.

mod baseline;
mod model;
mod serving_group;
mod serving_image;
mod slope;
mod slopes;
mod speed_limits;

pub use model::InterferenceModel;
pub use serving_group::ServingGroup;
pub use slope::Slope;
pub use speed_limits::{FullSpeedLoad, speed_limits};

use baseline::Baseline;
use serving_image::ServingImage;
use slopes::Slopes;
