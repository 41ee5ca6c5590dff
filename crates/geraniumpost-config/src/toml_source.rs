use std::ops::Range;

use serde_json::{Map, Value};
use toml::de::{DeArray, DeTable, DeValue};

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
    /// Reports every line that is not TOML. The keys are not looked at then, since what a broken
    /// line was to say is not known, and a key taken for missing would only mislead.
    pub(crate) fn parse(text: &str, file: &str) -> Result<Self, Report> {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut problems: Vec<Problem> =
            errors.iter().map(|error| syntax(text, file, error)).collect();
        problems.sort_by_key(|problem| problem.line);
        problems.dedup_by_key(|problem| problem.line);
        Report::from(problems).or(())?;
        let mut reader = Reader { text, lines: Lines::default() };
        reader.lines.insert("", 1);
        let value = reader.table(table.get_ref(), "");
        Ok(Self { value, lines: reader.lines })
    }
}

fn syntax(text: &str, file: &str, error: &toml::de::Error) -> Problem {
    let line = error.span().map_or(1, |span| line_at(text, span.start));
    let message = error.message().replace('\n', ", ");
    Problem::new(Code::Syntax, "").message(format!("Not TOML: {message}.")).at(file, line)
}

/// Collects lines while it turns TOML into JSON.
struct Reader<'a> {
    text: &'a str,
    lines: Lines,
}

impl Reader<'_> {
    fn table(&mut self, table: &DeTable<'_>, path: &str) -> Value {
        let mut map = Map::new();
        for (key, value) in table {
            let inner = joined(path, key.get_ref());
            self.note(&inner, key.span());
            map.insert(key.get_ref().to_string(), self.value(value.get_ref(), &inner));
        }
        Value::Object(map)
    }

    fn value(&mut self, value: &DeValue<'_>, path: &str) -> Value {
        match value {
            DeValue::String(text) => Value::from(text.as_ref()),
            DeValue::Integer(number) => {
                // A number too large for its type stays a text, which the schema reports.
                let read = i64::from_str_radix(number.as_str(), number.radix());
                read.map_or_else(|_| Value::from(number.as_str()), Value::from)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().unwrap_or(f64::NAN).into(),
            DeValue::Boolean(flag) => Value::from(*flag),
            DeValue::Datetime(instant) => Value::from(instant.to_string()),
            DeValue::Array(array) => self.array(array, path),
            DeValue::Table(table) => self.table(table, path),
        }
    }

    fn array(&mut self, array: &DeArray<'_>, path: &str) -> Value {
        let items = array.iter().enumerate().map(|(index, item)| {
            let inner = joined(path, &index.to_string());
            self.note(&inner, item.span());
            self.value(item.get_ref(), &inner)
        });
        Value::Array(items.collect())
    }

    fn note(&mut self, path: &str, span: Range<usize>) {
        self.lines.insert(path, line_at(self.text, span.start));
    }
}
