//! The framing of LDAP messages, and the control for paged results.
use super::ReadError;
use rasn::prelude::*;
use rasn_ldap::{Control, LdapMessage};

/// Limit on the length of a message, in bytes; a longer message is rejected.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The BER tag of a sequence; the first octet of each message.
const SEQUENCE_TAG: u8 = 0x30;
/// The largest length that is encoded in one octet, the short form (X.690, 8.1.3.4).
const MAX_SHORT_LENGTH: u8 = 0x7f;
/// Set in the first octet of the long form, whose low bits are the number of length octets that
/// follow.
const LONG_LENGTH_FLAG: u8 = 0x80;
/// Limit on the number of length octets in the long form.
const MAX_LENGTH_OCTETS: u8 = 4;
/// The size of a tag and the first octet of a length.
const SHORT_HEADER_BYTES: usize = 2;

/// The object identifier of the control for simple paged results (RFC 2696).
pub const PAGED_RESULTS_CONTROL: &[u8] = b"1.2.840.113556.1.4.319";

/// The value of the control for simple paged results.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
pub struct PagedResultsValue {
    /// In a request the page size, in a response an estimate of the number of entries.
    pub size: u32,
    /// The directory's reference to the next page; empty for the first page, and after the last
    /// one.
    pub cookie: OctetString,
}

/// Creates the control that requests a page.
pub(super) fn page_request(size: u32, cookie: OctetString) -> Control {
    let value = rasn::ber::encode(&PagedResultsValue { size, cookie })
        .expect("a number and an octet string have a BER encoding");
    Control::new(PAGED_RESULTS_CONTROL.into(), true, Some(value.into()))
}

/// Returns the cookie for the next page; empty after the last page, and if the directory does not
/// support paged results.
pub(super) fn next_page_cookie(controls: Option<&[Control]>) -> Result<OctetString, ReadError> {
    let paged_results = controls
        .unwrap_or_default()
        .iter()
        .find(|control| *control.control_type == *PAGED_RESULTS_CONTROL);
    let Some(value) = paged_results.and_then(|control| control.control_value.as_ref()) else {
        return Ok(OctetString::from(Vec::new()));
    };
    Ok(rasn::ber::decode::<PagedResultsValue>(value)?.cookie)
}

pub(super) fn encode(message: &LdapMessage) -> Vec<u8> {
    rasn::ber::encode(message).expect("the messages of a read have a BER encoding")
}

/// The length of the first message in bytes, its header included; `None` if the header is
/// incomplete.
///
/// # Errors
/// The input does not begin with an LDAP message, or the message is too long.
pub fn message_length(input: &[u8]) -> Result<Option<usize>, ReadError> {
    let (Some(tag), Some(octet)) = (input.first().copied(), input.get(1).copied()) else {
        return Ok(None);
    };
    if tag != SEQUENCE_TAG {
        return Err(ReadError::InvalidTag { tag });
    }
    let length = if octet <= MAX_SHORT_LENGTH {
        SHORT_HEADER_BYTES + usize::from(octet)
    } else {
        let count = octet - LONG_LENGTH_FLAG;
        if !(1..=MAX_LENGTH_OCTETS).contains(&count) {
            return Err(ReadError::InvalidLength { octet });
        }
        let header_bytes = SHORT_HEADER_BYTES + usize::from(count);
        let Some(octets) = input.get(SHORT_HEADER_BYTES..header_bytes) else {
            return Ok(None);
        };
        header_bytes + big_endian(octets)
    };
    if length > MAX_MESSAGE_BYTES {
        return Err(ReadError::MessageTooLong {
            length,
            limit: MAX_MESSAGE_BYTES,
        });
    }
    Ok(Some(length))
}

fn big_endian(octets: &[u8]) -> usize {
    octets
        .iter()
        .fold(0, |number, octet| number << 8 | usize::from(*octet))
}

/// Removes the first message from the input and decodes it; `None` if it is incomplete.
///
/// # Errors
/// The input does not begin with an LDAP message, or the message is too long or cannot be decoded.
pub fn take_message(input: &mut Vec<u8>) -> Result<Option<LdapMessage>, ReadError> {
    let Some(length) = message_length(input)?.filter(|length| *length <= input.len()) else {
        return Ok(None);
    };
    let message: Vec<u8> = input.drain(..length).collect();
    Ok(Some(rasn::ber::decode(&message)?))
}
