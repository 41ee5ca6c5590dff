use geraniumpost_schema::Datagram;

use crate::{NetError, SharedKey};

/// Largest datagram that is sent or received, in bytes. At the usual Ethernet MTU this is a few IP
/// fragments.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Length of the authentication tag in front of the message.
const TAG_BYTES: usize = 16;

/// Context that the tag covers besides the message, so that the proof of a link handshake is never
/// valid as a datagram tag.
const TAG_CONTEXT: &[u8] = b"geraniumpost datagram 1";

/// Encodes a datagram and prepends its authentication tag.
///
/// The tag does not detect replays; receivers drop those by incarnation and sequence number.
///
/// # Errors
///
/// Fails with [`NetError::TooLarge`] if the result exceeds [`MAX_DATAGRAM_BYTES`].
pub fn seal_datagram(key: &SharedKey, datagram: &Datagram) -> Result<Vec<u8>, NetError> {
    let message = postcard::to_stdvec(datagram)?;
    let mut sealed = Vec::with_capacity(TAG_BYTES + message.len());
    sealed.extend_from_slice(&key.prove(&[TAG_CONTEXT, &message])[..TAG_BYTES]);
    sealed.extend_from_slice(&message);
    if sealed.len() > MAX_DATAGRAM_BYTES {
        return Err(NetError::TooLarge(sealed.len()));
    }
    Ok(sealed)
}

/// Verifies the tag of a datagram with `key` and decodes the message.
///
/// # Errors
///
/// Fails with [`NetError::WrongKey`] if the tag is missing or invalid, and with
/// [`NetError::Codec`] if the message is not one of this version.
pub fn open_datagram(key: &SharedKey, sealed: &[u8]) -> Result<Datagram, NetError> {
    let Some((tag, message)) = sealed.split_at_checked(TAG_BYTES) else {
        return Err(NetError::WrongKey);
    };
    if !key.verify(&[TAG_CONTEXT, message], tag) {
        return Err(NetError::WrongKey);
    }
    Ok(postcard::from_bytes(message)?)
}
