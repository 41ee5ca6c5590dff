/// A job as the operators' API shows it at the end of a test.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedJob {
    /// Id of the job, which is also the id of its task on the workers.
    pub id: String,
    /// Committed result, `None` if the job is not completed.
    pub result: Option<String>,
}
