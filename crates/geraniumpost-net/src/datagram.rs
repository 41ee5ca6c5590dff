use geraniumpost_schema::Datagram;

use crate::{NetError, SharedKey};

/// Largest datagram that is sent or read, in bytes, below the usual limit of one Ethernet frame
/// times a few fragments.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Bytes of the tag in front of the message.
const TAG_BYTES: usize = 16;

/// What the tag covers besides the message, so that a link's proof never passes for a tag.
const PURPOSE: &[u8] = b"geraniumpost datagram 1";

/// Encodes a datagram behind its tag.
///
/// Replayed datagrams pass this check; receivers drop them by incarnation and sequence.
///
/// # Errors
///
/// Fails with [`NetError::TooLarge`] if the result exceeds [`MAX_DATAGRAM_BYTES`].
pub fn seal_datagram(key: &SharedKey, datagram: &Datagram) -> Result<Vec<u8>, NetError> {
    let message = postcard::to_stdvec(datagram)?;
    let mut sealed = Vec::with_capacity(TAG_BYTES + message.len());
    sealed.extend_from_slice(&key.prove(&[PURPOSE, &message])[..TAG_BYTES]);
    sealed.extend_from_slice(&message);
    if sealed.len() > MAX_DATAGRAM_BYTES {
        return Err(NetError::TooLarge(sealed.len()));
    }
    Ok(sealed)
}

/// Decodes a datagram whose tag was made with `key`.
///
/// # Errors
///
/// Fails with [`NetError::WrongKey`] for a stranger's bytes and [`NetError::Codec`] for those of
/// another version.
pub fn open_datagram(key: &SharedKey, sealed: &[u8]) -> Result<Datagram, NetError> {
    let Some((tag, message)) = sealed.split_at_checked(TAG_BYTES) else {
        return Err(NetError::WrongKey);
    };
    if !key.verify(&[PURPOSE, message], tag) {
        return Err(NetError::WrongKey);
    }
    Ok(postcard::from_bytes(message)?)
}
