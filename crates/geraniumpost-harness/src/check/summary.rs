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
