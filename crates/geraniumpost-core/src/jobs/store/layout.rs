use geraniumpost_schema::Name;
use sha2::{Digest, Sha256};

/// Number of store values over which the records of a region are spread.
///
/// The number is fixed because the store does not guarantee prefix listing. A group commit writes
/// at most this many values per interval, however many jobs change.
pub const BUCKETS: usize = 16;

/// Returns the store key of a bucket.
///
/// ```
/// # use geraniumpost_core::jobs::bucket_key;
/// assert_eq!(bucket_key(&"lima".into(), 3), "jobs/lima/3");
/// ```
pub fn bucket_key(region: &Name, bucket: usize) -> String {
    format!("jobs/{region}/{bucket}")
}

/// Returns the index of the bucket that contains the record of a job, below [`BUCKETS`].
pub fn bucket_of(job: &str) -> usize {
    (id_digest(job) % BUCKETS as u64) as usize
}

/// Returns a 64-bit hash of a job id, which selects its bucket and identifies its tombstone.
pub fn id_digest(job: &str) -> u64 {
    let hash = Sha256::digest(job.as_bytes());
    hash.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}
