//! Context of a call chain, as the `Damasktrack-Context` header and the peer protocol carry it.

use std::time;

use bytes::Bytes;

use crate::admission_level;
use crate::ids;

/// Header that carries the context; a backend server copies it unchanged into its own calls.
pub const CONTEXT_HEADER: &str = "Damasktrack-Context";
/// Longest accepted header value, in bytes.
pub const MAX_CONTEXT_BYTES: usize = 1024;
/// Largest remaining deadline that a context may carry.
pub const MAX_REMAINING: time::Duration = time::Duration::from_hours(24);

/// What every call of one request knows about the request.
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
    /// Remaining deadline. A duration, since clocks of servers may differ.
    pub remaining: time::Duration,
    /// Retries that the whole request may still spend, as far as the sender knows. The request owner decides.
    pub retry_allowance: u32,
    /// Number of calls above this one in the chain; 0 for the call of the caller.
    pub depth: u32,
    /// Id of the running call at the daemon whose backend server received this context; 0 for none.
    pub parent_call: ids::CallId,
    /// Priority by which the call is shed.
    pub level: admission_level::AdmissionLevel,
}

/// Why a context header can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ContextError {
    /// The value is longer than [`MAX_CONTEXT_BYTES`].
    #[display("context header is longer than {MAX_CONTEXT_BYTES} bytes")]
    TooLong,
    /// A part is not of the form `key=value`.
    #[display("part {index} of the context header is not key=value")]
    Malformed {
        /// Position of the part, from 0.
        index: usize,
    },
    /// A value can't be read or is out of range.
    #[display("value of '{key}' in the context header is not valid")]
    Invalid {
        /// Key of the value.
        key: &'static str,
    },
    /// A key is missing.
    #[display("'{key}' is missing in the context header")]
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

    /// Reads a header value; unknown keys are ignored so that later versions can add some.
    ///
    /// # Errors
    /// Returns the first fault: too long, malformed, a missing key or a value out of range.
    pub fn from_header(value: &[u8]) -> Result<Self, ContextError> {
        if value.len() > MAX_CONTEXT_BYTES {
            return Err(ContextError::TooLong);
        }
        let mut pairs = Vec::with_capacity(9);
        for (index, part) in value.split(|byte| *byte == b';').enumerate() {
            let at = part
                .iter()
                .position(|byte| *byte == b'=')
                .ok_or(ContextError::Malformed { index })?;
            pairs.push((&part[..at], &part[at + 1..]));
        }
        let level = find(&pairs, "level")?;
        let dot = level
            .iter()
            .position(|byte| *byte == b'.')
            .ok_or(ContextError::Invalid { key: "level" })?;
        let level = admission_level::AdmissionLevel {
            importance: number(&level[..dot], "level", u64::from(admission_level::MAX_IMPORTANCE))?,
            cohort: number(&level[dot + 1..], "level", u64::from(admission_level::COHORT_COUNT) - 1)?,
        };
        let left: u64 = number(
            find(&pairs, "left_ms")?,
            "left_ms",
            u64::try_from(MAX_REMAINING.as_millis()).unwrap_or(0),
        )?;
        Ok(Self {
            request_id: unescape(find(&pairs, "id")?, "id")?,
            attempt: number(find(&pairs, "attempt")?, "attempt", u64::from(u32::MAX))?,
            class: unescape(find(&pairs, "class")?, "class")?,
            tenant: unescape(find(&pairs, "tenant")?, "tenant")?,
            remaining: time::Duration::from_millis(left),
            retry_allowance: number(find(&pairs, "retries")?, "retries", u64::from(u32::MAX))?,
            depth: number(find(&pairs, "depth")?, "depth", u64::from(u32::MAX))?,
            parent_call: hexadecimal(find(&pairs, "call")?, "call")?,
            level,
        })
    }
}

fn find<'a>(pairs: &[(&'a [u8], &'a [u8])], key: &'static str) -> Result<&'a [u8], ContextError> {
    let pair = pairs.iter().find(|pair| pair.0 == key.as_bytes());
    pair.map(|pair| pair.1).ok_or(ContextError::Missing { key })
}

fn number<T: TryFrom<u64>>(value: &[u8], key: &'static str, max: u64) -> Result<T, ContextError> {
    let text = std::str::from_utf8(value).ok();
    let parsed = text
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|parsed| *parsed <= max);
    parsed
        .and_then(|parsed| T::try_from(parsed).ok())
        .ok_or(ContextError::Invalid { key })
}

fn hexadecimal(value: &[u8], key: &'static str) -> Result<u64, ContextError> {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(ContextError::Invalid { key })
}

/// Percent-encodes bytes that would end a part or that a header value may not hold.
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
    let mut plain = Vec::with_capacity(value.len());
    let mut rest = value;
    while let Some((first, tail)) = rest.split_first() {
        if *first != b'%' {
            plain.push(*first);
            rest = tail;
            continue;
        }
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        plain.push(byte.ok_or(ContextError::Invalid { key })?);
        rest = &tail[2..];
    }
    Ok(Bytes::from(plain))
}
