//! Context of a call, carried by the `Damasktrack-Context` header and the peer protocol.

use std::time;

use bytes::Bytes;

use crate::admission_level;
use crate::ids;

/// Header that carries the context; a backend server copies it unchanged into its own calls.
pub const CONTEXT_HEADER: &str = "Damasktrack-Context";
/// Maximum length of an accepted header value, in bytes.
pub const MAX_CONTEXT_BYTES: usize = 1024;
/// Maximum remaining time until the deadline that a context may carry.
pub const MAX_REMAINING: time::Duration = time::Duration::from_hours(24);

/// Properties of a request that each of its calls carries.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallContext {
    /// Id of the root request; the same at every depth.
    pub request_id: Bytes,
    /// Number of the attempt of this call, from 1.
    pub attempt: u32,
    /// Class of the root request.
    pub class: ids::ClassName,
    /// Tenant of the root request.
    pub tenant: ids::TenantName,
    /// Remaining time until the deadline. A duration rather than a timestamp, since the clocks of servers may differ.
    pub remaining: time::Duration,
    /// Retries left for the whole request according to the sender. The request owner is authoritative.
    pub retry_allowance: u32,
    /// Number of calls above this one in the chain; 0 for a call that the caller sends.
    pub depth: u32,
    /// Id of the running call at the daemon whose backend server received this context; 0 for none.
    pub parent_call: ids::CallId,
    /// Admission level of the call.
    pub level: admission_level::AdmissionLevel,
}

/// Reason for which a context header can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ContextError {
    /// The value is longer than [`MAX_CONTEXT_BYTES`].
    #[display("context header is longer than {MAX_CONTEXT_BYTES} bytes")]
    TooLong,
    /// A part does not have the form `key=value`.
    #[display("part {index} of the context header does not have the form key=value")]
    Malformed {
        /// Position of the part, from 0.
        index: usize,
    },
    /// A value can't be parsed or is out of range.
    #[display("value of '{key}' in the context header is invalid")]
    Invalid {
        /// Key of the value.
        key: &'static str,
    },
    /// A required key is missing.
    #[display("'{key}' is missing from the context header")]
    Missing {
        /// The missing key.
        key: &'static str,
    },
}

impl CallContext {
    /// Returns the header value, for example `id=a1;attempt=1;class=filing;tenant=default;left_ms=900;…`.
    #[must_use]
    pub fn to_header(&self) -> String {
        format!(
            "id={};attempt={};class={};tenant={};left_ms={};retries={};depth={};call={:x};level={}.{}",
            escape(&self.request_id),
            self.attempt,
            escape(&self.class),
            escape(&self.tenant),
            self.remaining.as_millis(),
            self.retry_allowance,
            self.depth,
            self.parent_call,
            self.level.importance,
            self.level.cohort,
        )
    }

    /// Parses a header value. Unknown keys are ignored, so that later versions can add keys.
    ///
    /// # Errors
    /// Returns the first fault: too long, malformed, a missing key or a value out of range.
    pub fn from_header(value: &[u8]) -> Result<Self, ContextError> {
        if value.len() > MAX_CONTEXT_BYTES {
            return Err(ContextError::TooLong);
        }
        let mut pairs = Vec::with_capacity(9);
        for (index, part) in value.split(|byte| *byte == b';').enumerate() {
            let separator = part
                .iter()
                .position(|byte| *byte == b'=')
                .ok_or(ContextError::Malformed { index })?;
            pairs.push((&part[..separator], &part[separator + 1..]));
        }
        let level = find(&pairs, "level")?;
        let dot = level
            .iter()
            .position(|byte| *byte == b'.')
            .ok_or(ContextError::Invalid { key: "level" })?;
        let level = admission_level::AdmissionLevel {
            importance: parse_number(&level[..dot], "level", u64::from(admission_level::MAX_IMPORTANCE))?,
            cohort: parse_number(&level[dot + 1..], "level", u64::from(admission_level::COHORT_COUNT) - 1)?,
        };
        let remaining_ms: u64 = parse_number(
            find(&pairs, "left_ms")?,
            "left_ms",
            u64::try_from(MAX_REMAINING.as_millis()).unwrap_or(0),
        )?;
        Ok(Self {
            request_id: unescape(find(&pairs, "id")?, "id")?,
            attempt: parse_number(find(&pairs, "attempt")?, "attempt", u64::from(u32::MAX))?,
            class: unescape(find(&pairs, "class")?, "class")?,
            tenant: unescape(find(&pairs, "tenant")?, "tenant")?,
            remaining: time::Duration::from_millis(remaining_ms),
            retry_allowance: parse_number(find(&pairs, "retries")?, "retries", u64::from(u32::MAX))?,
            depth: parse_number(find(&pairs, "depth")?, "depth", u64::from(u32::MAX))?,
            parent_call: parse_hexadecimal(find(&pairs, "call")?, "call")?,
            level,
        })
    }
}

fn find<'a>(pairs: &[(&'a [u8], &'a [u8])], key: &'static str) -> Result<&'a [u8], ContextError> {
    let pair = pairs.iter().find(|pair| pair.0 == key.as_bytes());
    pair.map(|pair| pair.1).ok_or(ContextError::Missing { key })
}

fn parse_number<T: TryFrom<u64>>(value: &[u8], key: &'static str, max: u64) -> Result<T, ContextError> {
    let text = std::str::from_utf8(value).ok();
    let parsed = text
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|parsed| *parsed <= max);
    parsed
        .and_then(|parsed| T::try_from(parsed).ok())
        .ok_or(ContextError::Invalid { key })
}

fn parse_hexadecimal(value: &[u8], key: &'static str) -> Result<u64, ContextError> {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(ContextError::Invalid { key })
}

/// Percent-encodes the separators `;` and `=`, `%`, spaces, and bytes that a header value must not contain.
fn escape(value: &[u8]) -> String {
    let mut text = String::with_capacity(value.len());
    for byte in value {
        match byte {
            b';' | b'=' | b'%' | 0..=0x20 | 0x7f..=0xff => text.extend(format!("%{byte:02x}").chars()),
            _ => text.push(char::from(*byte)),
        }
    }
    text
}

fn unescape(value: &[u8], key: &'static str) -> Result<Bytes, ContextError> {
    let mut decoded = Vec::with_capacity(value.len());
    let mut rest = value;
    while let Some((first, tail)) = rest.split_first() {
        if *first != b'%' {
            decoded.push(*first);
            rest = tail;
            continue;
        }
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(byte.ok_or(ContextError::Invalid { key })?);
        rest = &tail[2..];
    }
    Ok(Bytes::from(decoded))
}
