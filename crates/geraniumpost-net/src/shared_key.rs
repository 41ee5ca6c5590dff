use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a complete proof.
pub(crate) const PROOF_BYTES: usize = 32;

/// The key that all processes of one deployment share.
///
/// # Example
///
/// ```
/// use geraniumpost_net::SharedKey;
/// let key = SharedKey::from("sixteen characters or more");
/// assert_eq!(format!("{key:?}"), "SharedKey(..)");
/// ```
#[derive(Clone)]
pub struct SharedKey(Hmac<Sha256>);

impl SharedKey {
    /// Returns the HMAC-SHA256 over `parts`. Each part is preceded by its length, so that different
    /// lists of parts are never authenticated as the same bytes.
    pub(crate) fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Verifies a proof, which may be truncated but not empty, in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        !proof.is_empty() && self.mac(parts).verify_truncated_left(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

impl From<&str> for SharedKey {
    fn from(text: &str) -> Self {
        Self(<Hmac<Sha256> as Mac>::new_from_slice(text.as_bytes()).expect("HMAC takes any key"))
    }
}

impl std::fmt::Debug for SharedKey {
    /// Omits the key, so that it never appears in a log line.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}
