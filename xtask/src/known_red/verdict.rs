use super::{Entry, FILE, Outcome, Plan, TestId};

/// Whether a run of the tests passes, with a report on the listed ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    passed: bool,
    report: String,
}

impl Verdict {
    /// Decides by cargo's exit code and the outcomes of the listed tests.
    ///
    /// If a listed test has no outcome although its binary is part of the run, nothing is known
    /// about it and the run does not pass.
    pub fn new(
        entries: &[Entry],
        plan: &Plan,
        outcomes: &[(TestId, Outcome)],
        cargo_passed: bool,
    ) -> Self {
        let mut verdict = Self { passed: cargo_passed, report: format!("\nTests in {FILE}:\n") };
        for entry in entries {
            let found = outcomes.iter().rfind(|(test, _)| test == entry.test());
            let elsewhere = plan.elsewhere().contains(entry.test());
            let (allowed, remark) = describe(found.map(|(_, outcome)| *outcome), elsewhere);
            verdict.passed &= allowed;
            let lines =
                [String::new(), entry.to_string(), format!("    => {remark}"), String::new()];
            verdict.report.push_str(&lines.join("\n"));
        }
        verdict.report.push_str(summary(cargo_passed, verdict.passed));
        verdict
    }

    /// Returns whether the run passes: nothing failed but listed tests.
    pub const fn passed(&self) -> bool {
        self.passed
    }

    /// Returns each entry with its outcome, and a final line.
    pub fn report(&self) -> &str {
        &self.report
    }
}

/// Returns whether an outcome is allowed, and the remark to print.
const fn describe(outcome: Option<Outcome>, elsewhere: bool) -> (bool, &'static str) {
    match outcome {
        Some(Outcome::Failed) => (true, "FAILED, as listed"),
        Some(Outcome::Passed) => (true, "PASSED although listed; remove the entry once fixed"),
        Some(Outcome::Crashed) => (false, "CRASHED, which is not tolerated"),
        Some(Outcome::LeftOut) => (true, "NOT RUN: the command line leaves it out"),
        None if elsewhere => (true, "NOT RUN: its target is not part of this run"),
        None => (false, "NOT RUN although its target is part of this run"),
    }
}

/// Returns the final line of the report.
const fn summary(cargo_passed: bool, passed: bool) -> &'static str {
    match (cargo_passed, passed) {
        (false, _) => {
            "\nThe run fails: the list does not cover every failure (see cargo's output).\n"
        }
        (true, false) => "\nThe run fails because of the entries above.\n",
        (true, true) => "\nThe run passes: no test outside the list failed.\n",
    }
}
