use std::collections::HashMap;

use geraniumpost_schema::Name;

/// Assigns small numbers to names, so that a scan over workers compares integers.
#[derive(Debug, Clone, Default)]
pub struct Interner {
    ids: HashMap<Name, u32>,
    names: Vec<Name>,
}

impl Interner {
    /// Returns the number of `name`, assigning the next one if the name is new.
    pub fn intern(&mut self, name: &Name) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns the number of `name`, or none if the name is unknown.
    pub fn get(&self, name: &Name) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// Returns the names in the order of their numbers.
    pub fn names(&self) -> &[Name] {
        &self.names
    }
}
