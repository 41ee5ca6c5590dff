use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use geraniumpost_schema::{Document, Name, Policy, Service};
use sha2::{Digest as _, Sha256};

use super::Caller;

/// SHA-256 digest of a token.
type Digest = [u8; 32];

/// Adopted revision of the configuration with indices for the look-ups of requests.
///
/// Tokens are looked up by their digest. The time of a look-up depends only on the digest of the
/// token sent, which a caller cannot choose to be close to a stored digest, so timing reveals no
/// token.
#[derive(Debug)]
pub struct ActiveConfig {
    revision: u64,
    change_id: Name,
    document: Document,
    json: Bytes,
    callers: HashMap<Digest, Arc<Caller>>,
    operators: HashMap<Digest, Name>,
    services: HashMap<Name, Arc<Service>>,
    evacuated_domains: Vec<Name>,
}

impl ActiveConfig {
    /// Builds the indices of a document. `change_id` is empty if the document came from a peer,
    /// which does not send it.
    pub fn new(revision: u64, change_id: Name, document: Document) -> Self {
        let callers = document.customers.iter().filter_map(|(name, customer)| {
            let caller = Caller { name: name.clone(), limits: customer.clone() };
            Some((parse_digest(&customer.token_sha256)?, Arc::new(caller)))
        });
        let operators = document.operators.iter().filter_map(|(name, operator)| {
            Some((parse_digest(&operator.token_sha256)?, name.clone()))
        });
        let services = document.services.iter();
        let evacuated =
            document.domains.iter().filter(|(_, domain)| domain.evacuated == Some(true));
        let evacuated_domains = evacuated.map(|(name, _)| name.clone()).collect();
        Self {
            revision,
            change_id,
            callers: callers.collect(),
            operators: operators.collect(),
            services: services
                .map(|(name, service)| (name.clone(), Arc::new(service.clone())))
                .collect(),
            evacuated_domains,
            json: Bytes::from(geraniumpost_config::encode_document(&document)),
            document,
        }
    }

    /// Returns the empty configuration of a process that has adopted no revision yet.
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

    /// Returns the revision, 0 before the first was adopted.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the id of the change that created this revision, empty if unknown.
    pub const fn change_id(&self) -> &Name {
        &self.change_id
    }

    /// Returns the document.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the document as JSON, the form in which it is sent to peers.
    pub const fn json(&self) -> &Bytes {
        &self.json
    }

    /// Returns the customer with the given bearer token.
    pub fn caller(&self, token: &str) -> Option<&Arc<Caller>> {
        self.callers.get(&Digest::from(Sha256::digest(token.as_bytes())))
    }

    /// Returns the name of the operator with the given token.
    pub fn operator(&self, token: &str) -> Option<&Name> {
        self.operators.get(&Digest::from(Sha256::digest(token.as_bytes())))
    }

    /// Returns the failure domains to which no request is sent.
    pub fn evacuated_domains(&self) -> &[Name] {
        &self.evacuated_domains
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Parses 64 hexadecimal digits. Returns `None` for other text, which the check of the document
/// rejects.
fn parse_digest(text: &str) -> Option<Digest> {
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
