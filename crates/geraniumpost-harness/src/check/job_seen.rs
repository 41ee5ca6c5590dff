/// A job as the system shows it at the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSeen {
    /// The job, whose id is that of its task on the workers.
    pub id: String,
    /// Result that was committed, `None` if the job is not completed.
    pub result: Option<String>,
}
