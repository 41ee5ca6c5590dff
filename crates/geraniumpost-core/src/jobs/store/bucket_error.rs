use derive_more::{Display, Error, From};

/// Why a store value could not be read as a [`Bucket`](super::Bucket).
///
/// A planner that meets one must not write over the value: jobs would be lost.
#[derive(Debug, Display, Error, From)]
pub enum BucketError {
    /// The value is no bucket.
    #[display("the value is no bucket of jobs: {_0}")]
    Malformed(serde_json::Error),
    /// The value was written by a version that this one doesn't know.
    #[display("the bucket has the unknown format {_0}")]
    #[from(skip)]
    Format(#[error(not(source))] u32),
}
