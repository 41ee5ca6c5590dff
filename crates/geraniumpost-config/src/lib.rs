//! Parsing and validation of settings and of the configuration document.
//!
//! Every check reports all problems of a file at once, so that an operator can correct them in one
//! pass. Each problem has a numbered [`Code`], its line, and advice on what to write instead. The
//! codes are listed in `docs/RESULT_CODES.md`.
//!
//! ```
//! let report = geraniumpost_config::parse_agent("name = 'Agent 1'", "agent.toml").unwrap_err();
//! assert!(report.to_string().contains("agent.toml:1: error 1008: name"));
//! ```

mod any;
mod code;
mod document;
mod json_lines;
mod lines;
mod membership;
mod problem;
mod reference;
mod report;
mod rules;
mod schema;
mod settings;
mod settings_rules;
mod toml_source;
mod translate;

pub use any::{AnyFile, load_any};
pub use code::Code;
pub use document::{
    MAX_DOCUMENT_BYTES, check_document, check_document_value, encode_document, token_digest,
};
pub use lines::Lines;
pub use membership::{check_entry_membership, check_membership};
pub use problem::Problem;
pub use reference::reference;
pub use report::Report;
pub use schema::{Schema, SchemaKind};
pub use settings::{load_agent, load_entry, parse_agent, parse_entry};
