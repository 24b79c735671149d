//! Query strings of request targets.

use std::str;

/// Splits a request target at the first `?` into path and query; the query is empty if there is none.
#[must_use]
pub fn split(target: &str) -> (&str, &str) {
    target.split_once('?').unwrap_or((target, ""))
}

/// Returns the first value of a query parameter, percent-decoded; `None` if the parameter is absent.
#[must_use]
pub fn value(query: &str, name: &str) -> Option<String> {
    values(query, name).into_iter().next()
}

/// Returns all values of a query parameter in their order in the query, percent-decoded.
#[must_use]
pub fn values(query: &str, name: &str) -> Vec<String> {
    let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs
        .filter(|pair| pair.0 == name)
        .map(|pair| percent_decode(pair.1))
        .collect()
}

/// Decodes percent-encoded text. Malformed escapes are kept; bytes that are not UTF-8 become U+FFFD.
#[must_use]
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let digits = bytes
            .get(index + 1..index + 3)
            .and_then(|digits| str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[index], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Percent-encodes text for a query value. `/` and `:` are not encoded.
#[must_use]
pub fn percent_encode(text: &str) -> String {
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
