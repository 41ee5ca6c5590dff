use geraniumpost_schema::Name;
use sha2::{Digest, Sha256};

/// Store values that the records of a region are spread over.
///
/// Prefix listing is not promised by the store, so that the number is fixed. A group commit writes
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

/// Returns the bucket that keeps the record of a job.
pub fn bucket_of(job: &str) -> usize {
    (digest(job) % BUCKETS as u64) as usize
}

/// Returns 64 bits that stand for a job id in buckets and tombstones.
pub fn digest(job: &str) -> u64 {
    let hash = Sha256::digest(job.as_bytes());
    hash.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}
