use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Identifier of a job, chosen by its submitter and written as 16 hexadecimal digits.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::JobId;
/// let id: JobId = "5c0e7a21d94b36f8".parse().unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!("5c0e".parse::<JobId>().is_err());
/// ```
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// The text is not a job id of 16 hexadecimal digits.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("a job id has 16 hexadecimal digits")]
pub struct JobIdError;

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16).map_err(|_| JobIdError)?;
        if digits { Ok(Self(value)) } else { Err(JobIdError) }
    }
}
