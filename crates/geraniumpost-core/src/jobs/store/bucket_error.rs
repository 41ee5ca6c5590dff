use derive_more::{Display, Error, From};

/// The reason why a store value could not be decoded as a [`Bucket`](super::Bucket).
///
/// The planner must not overwrite such a value, because jobs would be lost.
#[derive(Debug, Display, Error, From)]
pub enum BucketError {
    /// The value is not an encoded bucket.
    #[display("invalid job bucket: {_0}")]
    Malformed(serde_json::Error),
    /// The value has a format version that this program does not support.
    #[display("unsupported job bucket format {_0}")]
    #[from(skip)]
    Format(#[error(not(source))] u32),
}
