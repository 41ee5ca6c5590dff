use std::ops::Range;

use serde_json::{Map, Value};
use toml::de::{DeArray, DeTable, DeValue};

use crate::lines::{join_path, line_at};
use crate::{Code, Lines, Problem, Report};

/// A TOML text, converted to a JSON value for validation by the schema, with the lines of its keys.
pub(crate) struct TomlSource {
    pub(crate) value: Value,
    pub(crate) lines: Lines,
}

impl TomlSource {
    /// Parses a TOML text.
    ///
    /// # Errors
    ///
    /// Returns a problem for each line that is not valid TOML. The keys are not checked in this
    /// case: a key on an invalid line would be reported as missing, which is misleading.
    pub(crate) fn parse(text: &str, file: &str) -> Result<Self, Report> {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut problems: Vec<Problem> =
            errors.iter().map(|error| syntax_problem(text, file, error)).collect();
        problems.sort_by_key(|problem| problem.line);
        problems.dedup_by_key(|problem| problem.line);
        Report::from(problems).into_result(())?;
        let mut converter = Converter { text, lines: Lines::default() };
        converter.lines.insert("", 1);
        let value = converter.table(table.get_ref(), "");
        Ok(Self { value, lines: converter.lines })
    }
}

fn syntax_problem(text: &str, file: &str, error: &toml::de::Error) -> Problem {
    let line = error.span().map_or(1, |span| line_at(text, span.start));
    let message = error.message().replace('\n', ", ");
    Problem::new(Code::Syntax, "").message(format!("Not TOML: {message}.")).at(file, line)
}

/// Converts TOML to JSON and collects the lines of the keys.
struct Converter<'a> {
    text: &'a str,
    lines: Lines,
}

impl Converter<'_> {
    fn table(&mut self, table: &DeTable<'_>, path: &str) -> Value {
        let mut map = Map::new();
        for (key, value) in table {
            let item_path = join_path(path, key.get_ref());
            self.record_line(&item_path, key.span());
            map.insert(key.get_ref().to_string(), self.value(value.get_ref(), &item_path));
        }
        Value::Object(map)
    }

    fn value(&mut self, value: &DeValue<'_>, path: &str) -> Value {
        match value {
            DeValue::String(text) => Value::from(text.as_ref()),
            DeValue::Integer(number) => {
                // A number that exceeds i64 becomes a string, which the schema reports.
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
            let item_path = join_path(path, &index.to_string());
            self.record_line(&item_path, item.span());
            self.value(item.get_ref(), &item_path)
        });
        Value::Array(items.collect())
    }

    fn record_line(&mut self, path: &str, span: Range<usize>) {
        self.lines.insert(path, line_at(self.text, span.start));
    }
}
