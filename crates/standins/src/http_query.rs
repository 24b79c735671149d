//! Query strings of request targets.

use std::str;

/// Splits a request target into its path and its query.
#[must_use]
pub fn split(target: &str) -> (&str, &str) {
    target.split_once('?').unwrap_or((target, ""))
}

/// Returns the first value of a query parameter, percent-decoded.
#[must_use]
pub fn value(query: &str, name: &str) -> Option<String> {
    values(query, name).into_iter().next()
}

/// Returns all values of a query parameter, percent-decoded.
#[must_use]
pub fn values(query: &str, name: &str) -> Vec<String> {
    let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.filter(|pair| pair.0 == name).map(|pair| decode(pair.1)).collect()
}

/// Decodes percent-encoded text; malformed escapes stay as they are.
#[must_use]
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Percent-encodes text for a query value.
#[must_use]
pub fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/:".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.extend(format!("%{byte:02X}").chars());
        }
    }
    encoded
}
