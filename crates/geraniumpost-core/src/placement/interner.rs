use std::collections::HashMap;

use geraniumpost_schema::Name;

/// Assigns consecutive indices to names, so that a scan over workers compares integers.
#[derive(Debug, Clone, Default)]
pub struct Interner {
    indices: HashMap<Name, u32>,
    names: Vec<Name>,
}

impl Interner {
    /// Returns the index of `name`, and assigns the next index to a new name.
    pub fn intern(&mut self, name: &Name) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// Returns the index assigned to `name`, or `None` if the name is unknown.
    pub fn get(&self, name: &Name) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// Returns all names; each is at the position of its index.
    pub fn names(&self) -> &[Name] {
        &self.names
    }
}
