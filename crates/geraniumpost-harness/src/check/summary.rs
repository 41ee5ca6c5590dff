use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use super::{Told, Word};

/// Counts of the last words that callers got.
#[derive(Debug, Display, Default, Clone, PartialEq, Eq)]
#[display(
    "{answered} answered, {not_run} not run, {may_have_run} may have run, {nothing} without a word, \
     {unreachable} unreachable, worst {worst:?}, codes {codes:?}"
)]
pub struct Summary {
    /// Answered by a minion.
    pub answered: usize,
    /// Told "not run".
    pub not_run: usize,
    /// Told that it may have run.
    pub may_have_run: usize,
    /// Sent without any word.
    pub nothing: usize,
    /// Not sent.
    pub unreachable: usize,
    /// Longest time to the last word.
    pub worst: Duration,
    /// Words by result code.
    pub codes: BTreeMap<u16, usize>,
}

impl Summary {
    /// Counts all requests.
    pub fn of(told: &[Told]) -> Self {
        told.iter().collect()
    }

    /// Counts the requests that may run more than once, which the system repeats by itself.
    pub fn of_idempotent(told: &[Told]) -> Self {
        told.iter().filter(|told| told.idempotent).collect()
    }

    /// Counts the requests that need no claim in the store.
    pub fn of_unkeyed(told: &[Told]) -> Self {
        told.iter().filter(|told| told.key.is_empty()).collect()
    }

    /// Tells whether some requests were sent and every one of them was answered.
    pub const fn all_answered(&self) -> bool {
        self.answered > 0 && self.not_run + self.may_have_run + self.nothing == 0
    }
}

impl<'a> FromIterator<&'a Told> for Summary {
    fn from_iter<I: IntoIterator<Item = &'a Told>>(told: I) -> Self {
        let mut summary = Self::default();
        for told in told {
            let count = match told.word {
                Word::Answered { .. } => &mut summary.answered,
                Word::NotRun => &mut summary.not_run,
                Word::MayHaveRun => &mut summary.may_have_run,
                Word::Nothing => &mut summary.nothing,
                Word::Unreachable => &mut summary.unreachable,
            };
            *count += 1;
            *summary.codes.entry(told.code).or_default() += 1;
            summary.worst = summary.worst.max(told.took);
        }
        summary
    }
}
