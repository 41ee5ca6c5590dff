use super::{Entry, FILE, Outcome, Plan, TestId};

/// The judgement on a run of the tests, with what to print about the listed ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    passed: bool,
    report: String,
}

impl Verdict {
    /// Judges a run by cargo's exit code and the outcomes of the listed tests.
    ///
    /// A listed test without an outcome was not run although its binary is part of the run, so
    /// nothing is known about it and the run does not pass.
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
            let (allowed, remark) = remark(found.map(|(_, outcome)| *outcome), elsewhere);
            verdict.passed &= allowed;
            let lines =
                [String::new(), entry.to_string(), format!("    => {remark}"), String::new()];
            verdict.report.push_str(&lines.join("\n"));
        }
        verdict.report.push_str(closing(cargo_passed, verdict.passed));
        verdict
    }

    /// Tells whether only listed tests failed.
    pub const fn passed(&self) -> bool {
        self.passed
    }

    /// Returns each entry with its outcome, and a closing line.
    pub fn report(&self) -> &str {
        &self.report
    }
}

/// Tells whether an outcome is allowed, and how it is printed.
const fn remark(outcome: Option<Outcome>, elsewhere: bool) -> (bool, &'static str) {
    match outcome {
        Some(Outcome::Failed) => (true, "FAILED, as listed"),
        Some(Outcome::Passed) => (true, "PASSED although listed; take it out once it is mended"),
        Some(Outcome::Crashed) => (false, "CRASHED, which is not passed over"),
        Some(Outcome::LeftOut) => (true, "NOT RUN: the command line leaves it out"),
        None if elsewhere => (true, "NOT RUN: its target is not part of this run"),
        None => (false, "NOT RUN although its target is part of this run"),
    }
}

/// Returns the closing line.
const fn closing(cargo_passed: bool, passed: bool) -> &'static str {
    match (cargo_passed, passed) {
        (false, _) => {
            "\nThe run fails: the list does not cover all that failed (see cargo's output).\n"
        }
        (true, false) => "\nThe run fails because of the entries above.\n",
        (true, true) => "\nThe run passes: no test outside the list failed.\n",
    }
}
