use std::time::Instant;

use eyre::Result;
use geraniumpost_core::jobs::{Bucket, JobRecord, JobSpec, Transition};
use geraniumpost_schema::Resources;

use super::fit::Fit;
use super::slopes_header;

/// Numbers of records in a bucket.
const COUNTS: [usize; 5] = [0, 100, 200, 400, 800];
/// Encodings timed for each number of records.
const COMMITS: u64 = 200;
/// Number of records to which the figures are extrapolated: 2,600 jobs a day, which are kept for a
/// day, and 2,800 running ones, in 16 buckets.
const TARGET_RECORDS: f64 = 338.0;

/// Measures the size of a bucket and the time to encode it for a commit.
///
/// # Errors
///
/// Fails if a record does not accept a transition.
pub fn run() -> Result<()> {
    println!("\n## Job records in one bucket\n");
    println!("| records | bytes | encode us | decode us |\n| --- | --- | --- | --- |");
    let (mut sizes, mut encodings, mut decodings) = (Vec::new(), Vec::new(), Vec::new());
    for count in COUNTS {
        let mut bucket = filled_bucket(count)?;
        let started = Instant::now();
        for sequence in 0..COMMITS {
            std::hint::black_box(bucket.encode(1, sequence));
        }
        let encode = started.elapsed().as_secs_f64() * 1e6 / COMMITS as f64;
        let value = bucket.encode(1, COMMITS);
        let started = Instant::now();
        std::hint::black_box(Bucket::decode(&value)?);
        let decode = started.elapsed().as_secs_f64() * 1e6;
        println!("| {count} | {} | {encode:.1} | {decode:.0} |", value.len());
        sizes.push((count as f64, value.len() as f64));
        encodings.push((count as f64, encode));
        decodings.push((count as f64, decode));
    }
    println!("{}", slopes_header("record", "338 records"));
    println!("{}", Fit::new(&sizes).row("bytes of a commit", TARGET_RECORDS));
    println!("{}", Fit::new(&encodings).row("us to encode it", TARGET_RECORDS));
    println!("{}", Fit::new(&decodings).row("us to decode it at a takeover", TARGET_RECORDS));
    Ok(())
}

/// Creates a bucket of which half the records are completed, as on average over a day.
fn filled_bucket(count: usize) -> Result<Bucket> {
    let mut bucket = Bucket::default();
    for number in 0..count {
        let mut record = JobRecord::new(spec(number), 1_796_000_000_000);
        record.apply(Transition::Assign { worker: "agent-123".into() }, 1_796_000_001_000)?;
        if number % 2 == 0 {
            let result = format!("results/study-{number:08}/summary");
            record.apply(Transition::Complete { result }, 1_796_000_900_000)?;
        }
        bucket.put(record);
    }
    Ok(bucket)
}

fn spec(number: usize) -> JobSpec {
    JobSpec {
        id: format!("study-{number:08}").into(),
        customer: format!("team-{}", number % 160).into(),
        class: "study".into(),
        need: Resources { milli_cpus: 4_000, memory_mb: 9_000, accelerators: 0 },
        command: "coordinate --band 3500 --area lima --input studies/2026-12".into(),
    }
}
