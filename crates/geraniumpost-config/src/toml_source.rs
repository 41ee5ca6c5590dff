use std::ops::Range;

use serde_json::{Map, Value};
use toml_edit::{Item, Table, TableLike, Value as TomlValue};

use crate::lines::{joined, line_at};
use crate::{Code, Lines, Problem, Report};

/// A TOML text as the plain value that the schema is held against, with its lines.
pub(crate) struct TomlSource {
    pub(crate) value: Value,
    pub(crate) lines: Lines,
}

impl TomlSource {
    /// Reads a TOML text.
    ///
    /// # Errors
    ///
    /// Reports the first place at which the text is not TOML; what follows it means nothing.
    pub(crate) fn parse(text: &str, file: &str) -> Result<Self, Report> {
        let document = toml_edit::Document::parse(text).map_err(|error| {
            let line = error.span().map_or(1, |span| line_at(text, span.start));
            let message = error.message().replace('\n', ", ");
            Report::of(Problem::new(Code::Syntax, "").message(message + ".").at(file, line))
        })?;
        let mut reader = Reader { text, lines: Lines::default() };
        reader.lines.insert("", 1);
        let value = reader.table(document.as_table(), "");
        Ok(Self { value, lines: reader.lines })
    }
}

/// Collects lines while it turns TOML into JSON.
struct Reader<'a> {
    text: &'a str,
    lines: Lines,
}

impl Reader<'_> {
    fn table(&mut self, table: &Table, path: &str) -> Value {
        self.entries(table, path)
    }

    fn entries(&mut self, table: &dyn TableLike, path: &str) -> Value {
        let mut map = Map::new();
        for (key, item) in table.iter() {
            let inner = joined(path, key);
            let span = table.key(key).and_then(toml_edit::Key::span).or_else(|| item.span());
            self.note(&inner, span);
            map.insert(key.to_owned(), self.item(item, &inner));
        }
        Value::Object(map)
    }

    fn item(&mut self, item: &Item, path: &str) -> Value {
        match item {
            Item::None => Value::Null,
            Item::Value(value) => self.value(value, path),
            Item::Table(table) => self.table(table, path),
            Item::ArrayOfTables(tables) => {
                let items = tables.iter().enumerate();
                let read = |(index, table): (usize, &Table)| {
                    let inner = joined(path, &index.to_string());
                    self.note(&inner, table.span());
                    self.table(table, &inner)
                };
                Value::Array(items.map(read).collect())
            }
        }
    }

    fn value(&mut self, value: &TomlValue, path: &str) -> Value {
        match value {
            TomlValue::String(text) => Value::from(text.value().clone()),
            TomlValue::Integer(number) => Value::from(*number.value()),
            TomlValue::Float(number) => Value::from(*number.value()),
            TomlValue::Boolean(flag) => Value::from(*flag.value()),
            TomlValue::Datetime(instant) => Value::from(instant.value().to_string()),
            TomlValue::InlineTable(table) => self.entries(table, path),
            TomlValue::Array(array) => {
                let items = array.iter().enumerate();
                let read = |(index, item): (usize, &TomlValue)| {
                    let inner = joined(path, &index.to_string());
                    self.note(&inner, item.span());
                    self.value(item, &inner)
                };
                Value::Array(items.map(read).collect())
            }
        }
    }

    fn note(&mut self, path: &str, span: Option<Range<usize>>) {
        if let Some(span) = span {
            self.lines.insert(path, line_at(self.text, span.start));
        }
    }
}
