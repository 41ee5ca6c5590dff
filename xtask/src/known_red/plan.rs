use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{Entry, PlanError, Target, TestBinary, TestId};

/// The test binaries of this run with the listed tests of each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    binaries: BTreeMap<PathBuf, Vec<TestId>>,
    /// Listed tests whose targets are not part of this run.
    elsewhere: Vec<TestId>,
}

impl Plan {
    /// Matches the entries with the binaries that cargo has built.
    ///
    /// `unselected` contains the targets that exist although the command line may not select them;
    /// their entries are kept apart. It is empty if the whole workspace is run.
    ///
    /// # Errors
    ///
    /// Fails if an entry names a target that does not exist.
    pub fn new(
        entries: &[Entry],
        binaries: &[TestBinary],
        unselected: &[Target],
    ) -> Result<Self, PlanError> {
        let mut plan = Self::default();
        for binary in binaries {
            plan.binaries.insert(binary.path().to_owned(), Vec::new());
        }
        for test in entries.iter().map(|entry| entry.test().clone()) {
            if let Some(b) = binaries.iter().find(|b| b.target().contains(&test)) {
                plan.binaries.entry(b.path().to_owned()).or_default().push(test);
            } else if unselected.iter().any(|target| target.contains(&test)) {
                plan.elsewhere.push(test);
            } else {
                return Err(PlanError::UnknownTarget { test });
            }
        }
        Ok(plan)
    }

    /// Returns the binaries with listed tests.
    pub fn binaries_with_listed_tests(&self) -> impl Iterator<Item = &Path> {
        let with_listed = self.binaries.iter().filter(|(_, listed)| !listed.is_empty());
        with_listed.map(|(path, _)| path.as_path())
    }

    /// Returns whether cargo has built this binary for a target; rustdoc builds those of tests in
    /// doc comments.
    pub fn contains(&self, binary: &Path) -> bool {
        self.binaries.contains_key(binary)
    }

    /// Returns the listed tests of a binary.
    pub fn listed_in(&self, binary: &Path) -> &[TestId] {
        self.binaries.get(binary).map_or(&[], Vec::as_slice)
    }

    /// Returns the listed tests that belong to no binary of this run.
    pub fn elsewhere(&self) -> &[TestId] {
        &self.elsewhere
    }

    /// Checks that a binary would run each of its listed tests.
    ///
    /// An entry whose test was renamed would otherwise stay in the list unnoticed, and could later
    /// hide the failure of a new test with the old name.
    ///
    /// # Errors
    ///
    /// Fails at the first entry whose test does not exist or is ignored.
    pub fn check(
        &self,
        binary: &Path,
        names: &[String],
        ignored: &[String],
    ) -> Result<(), PlanError> {
        for test in self.listed_in(binary) {
            let is_test = |name: &String| name == test.name();
            if !names.iter().any(is_test) {
                return Err(PlanError::UnknownTest { test: test.clone() });
            }
            if ignored.iter().any(is_test) {
                return Err(PlanError::Ignored { test: test.clone() });
            }
        }
        Ok(())
    }
}
