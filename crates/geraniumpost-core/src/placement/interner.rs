use std::collections::HashMap;

use geraniumpost_schema::Name;

/// Small numbers for names, so that a scan over workers compares integers.
#[derive(Debug, Clone, Default)]
pub struct Interner {
    ids: HashMap<Name, u32>,
    names: Vec<Name>,
}

impl Interner {
    /// Returns the number of `name`, a new one if it was never seen.
    pub fn intern(&mut self, name: &Name) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        id
    }

    /// Returns the number of `name`, if it was ever seen.
    pub fn get(&self, name: &Name) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// Returns the names in the order of their numbers.
    pub fn names(&self) -> &[Name] {
        &self.names
    }
}
