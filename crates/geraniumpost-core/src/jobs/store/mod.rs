//! Encoding of job records in the store; see `docs/design/0201-job-records.md`.

mod bucket;
mod bucket_error;
mod layout;
mod stored;
mod tombstones;

pub use bucket::Bucket;
pub use bucket_error::BucketError;
pub(super) use layout::digest;
pub use layout::{BUCKETS, bucket_key, bucket_of};
use stored::Stored;
pub use tombstones::Tombstones;
