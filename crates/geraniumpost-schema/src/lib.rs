//! Types of the messages between processes, of the settings and of the configuration document.
//!
//! The types are generated from the JSON Schema files in `schema/` by `cargo xtask codegen`. The
//! generated code is committed, so that a build does not run the generator. See
//! `docs/design/0001-schema.md` for why messages on the wire have no optional fields.
//!
//! ```
//! use geraniumpost_schema::{Document, Name, Resources};
//! let need = Resources { milli_cpus: 500, memory_mb: 256, accelerators: 0 };
//! assert_eq!(Name::from("filing").as_str(), "filing");
//! assert!(serde_json::to_string(&need).is_ok());
//! ```

#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
mod generated;
mod name;

pub use generated::*;
pub use name::Name;

/// JSON Schema of the settings files.
pub const SETTINGS_SCHEMA: &str = include_str!("../schema/settings.json");
/// JSON Schema of the configuration document.
pub const DOCUMENT_SCHEMA: &str = include_str!("../schema/document.json");
