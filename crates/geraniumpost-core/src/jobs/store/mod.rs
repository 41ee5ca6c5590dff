//! Encoding of job records in the store; see `docs/design/0201-job-records.md`.

mod bucket;
mod bucket_error;
mod layout;
mod stored_record;
mod tombstones;

pub use bucket::Bucket;
pub use bucket_error::BucketError;
pub(super) use layout::id_digest;
pub use layout::{BUCKETS, bucket_key, bucket_of};
use stored_record::StoredRecord;
pub use tombstones::Tombstones;
