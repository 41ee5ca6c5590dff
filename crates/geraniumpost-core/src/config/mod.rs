//! Configuration changes: how a change is committed and when a revision is adopted.
//!
//! [`ChangeProtocol`] commits one operator's change to the store exactly once, even if responses
//! are lost. [`Adoption`] decides in each process which revision is in force, which never
//! decreases. The reasons are in `docs/design/0401-configuration.md`.

mod adoption;
mod adoption_action;
mod adoption_event;
mod change;
mod change_action;
mod change_event;
mod change_outcome;
mod change_protocol;
mod difference;
mod past_change;
mod source;
mod stored_document;

pub use adoption::Adoption;
pub use adoption_action::AdoptionAction;
pub use adoption_event::AdoptionEvent;
pub use change::Change;
pub use change_action::ChangeAction;
pub use change_event::ChangeEvent;
pub use change_outcome::ChangeOutcome;
pub use change_protocol::ChangeProtocol;
pub use difference::differing_paths;
pub use past_change::PastChange;
pub use source::Source;
pub use stored_document::StoredDocument;
