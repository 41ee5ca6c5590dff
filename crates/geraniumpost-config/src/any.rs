use std::path::Path;

use geraniumpost_schema::{AgentSettings, Document, EntrySettings};
use serde_json::Value;

use crate::schema::{Schema, SchemaKind};
use crate::toml_source::TomlSource;
use crate::{Report, check_document, parse_agent, parse_entry, settings};

/// A valid file of one of the three kinds.
#[derive(Debug, Clone, PartialEq)]
pub enum AnyFile {
    /// Settings of an entry.
    Entry(EntrySettings),
    /// Settings of an agent.
    Agent(AgentSettings),
    /// The configuration document.
    Document(Document),
}

impl AnyFile {
    /// Returns the kind of the file.
    pub const fn kind(&self) -> SchemaKind {
        match self {
            Self::Entry(_) => SchemaKind::Entry,
            Self::Agent(_) => SchemaKind::Agent,
            Self::Document(_) => SchemaKind::Document,
        }
    }
}

/// Reads a file, detects its kind from the content, and checks it.
///
/// JSON is the configuration document. A TOML file is settings of an agent if more of its top-level
/// keys belong to the schema of agents than to that of entries, else settings of an entry.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn load_any(path: &Path) -> Result<AnyFile, Report> {
    let text = settings::read_file(path)?;
    let file = path.display().to_string();
    if text.trim_start().starts_with('{')
        || path.extension().is_some_and(|extension| extension == "json")
    {
        return check_document(&text, &file).map(AnyFile::Document);
    }
    let value = TomlSource::parse(&text, &file)?.value;
    if count_known_keys(&value, SchemaKind::Agent) > count_known_keys(&value, SchemaKind::Entry) {
        parse_agent(&text, &file).map(AnyFile::Agent)
    } else {
        parse_entry(&text, &file).map(AnyFile::Entry)
    }
}

fn count_known_keys(value: &Value, kind: SchemaKind) -> usize {
    let properties = &Schema::of(kind).root()["properties"];
    let keys = value.as_object().into_iter().flatten();
    keys.filter(|(key, _)| properties.get(key.as_str()).is_some()).count()
}
