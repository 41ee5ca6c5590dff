//! How much tasks that fill a minion slow those that serve there, learnt from late gauges.
//!
//! Tasks that share a minion disturb each other by amounts that no declaration tells; only the tail
//! latencies of serving tasks show them. Tails grow like those of a queue: a task that is busy for a share
//! `u` of the time has a tail of `idle / (1 - u)`. In this [utilization](ServingImage::utilization) what
//! causes it adds up: the load of the task's own users, and for each filling image a
//! [slope](Slope) times the share of the minion's processors that it uses. A tail itself grows so fast
//! near its bound that it hides who caused it.
//!
//! The own load swings within tens of seconds and nobody reports it. It belongs to a [`ServingGroup`]: the
//! tasks of one step on one minion. [`Baseline`] keeps running means of a group; how far a gauge lies from
//! them tells of the filling tasks, as the own load cancels. [`Slopes`] holds what all groups of an image
//! have told, with its uncertainty. docs/design/0602-colocation.md has the derivation.

mod baseline;
mod estimator;
mod paces;
mod serving_group;
mod serving_image;
mod slope;
mod slopes;

pub use estimator::InterferenceModel;
pub use paces::{Pressure, speed_limits};
pub use serving_group::ServingGroup;

use baseline::Baseline;
use serving_image::ServingImage;
use slope::Slope;
use slopes::Slopes;
