use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use geraniumpost_schema::{Document, Name, Policy, Service};
use sha2::{Digest as _, Sha256};

use super::Caller;

/// A SHA-256 digest as the tables are keyed.
type Digest = [u8; 32];

/// One adopted revision, prepared so that a request pays one hash and one look-up.
///
/// Tokens are found by the hash of what the caller sent. How long the look-up takes depends on that
/// hash alone, which a caller cannot steer towards a stored one, so timing gives no token away.
#[derive(Debug)]
pub struct ActiveConfig {
    revision: u64,
    change_id: Name,
    document: Document,
    json: Bytes,
    callers: HashMap<Digest, Arc<Caller>>,
    operators: HashMap<Digest, Name>,
    services: HashMap<Name, Arc<Service>>,
}

impl ActiveConfig {
    /// Prepares a document; `change_id` is empty where only a peer's word is known.
    pub fn new(revision: u64, change_id: Name, document: Document) -> Self {
        let callers = document.customers.iter().filter_map(|(name, customer)| {
            let caller = Caller { name: name.clone(), limits: customer.clone() };
            Some((digest_of(&customer.token_sha256)?, Arc::new(caller)))
        });
        let operators = document.operators.iter().filter_map(|(name, operator)| {
            Some((digest_of(&operator.token_sha256)?, name.clone()))
        });
        let services = document.services.iter();
        Self {
            revision,
            change_id,
            callers: callers.collect(),
            operators: operators.collect(),
            services: services
                .map(|(name, service)| (name.clone(), Arc::new(service.clone())))
                .collect(),
            json: Bytes::from(geraniumpost_config::encode_document(&document)),
            document,
        }
    }

    /// Creates the state before the first revision: nobody is known.
    pub fn none() -> Self {
        let document = Document {
            classes: BTreeMap::default(),
            customers: BTreeMap::default(),
            domains: BTreeMap::default(),
            operators: BTreeMap::default(),
            policy: Policy::default(),
            services: BTreeMap::default(),
        };
        Self::new(0, Name::default(), document)
    }

    /// Returns the revision, 0 before the first.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the id of the change that made this revision, empty if it is not known here.
    pub const fn change_id(&self) -> &Name {
        &self.change_id
    }

    /// Returns the document.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the document as JSON, as it is sent to peers.
    pub const fn json(&self) -> &Bytes {
        &self.json
    }

    /// Returns the customer whose bearer token this is.
    pub fn caller(&self, token: &str) -> Option<&Arc<Caller>> {
        self.callers.get(&Digest::from(Sha256::digest(token.as_bytes())))
    }

    /// Returns the operator whose token this is.
    pub fn operator(&self, token: &str) -> Option<&Name> {
        self.operators.get(&Digest::from(Sha256::digest(token.as_bytes())))
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Reads 64 hexadecimal digits; the document's check has let nothing else through.
fn digest_of(text: &str) -> Option<Digest> {
    let mut digest = [0; 32];
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    for (byte, pair) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(digest)
}
