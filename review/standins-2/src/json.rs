//! Reading of JSON texts.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut position = 0;
        let value = value(bytes, &mut position)?;
        skip(bytes, &mut position);
        (position == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        const NONE: &Json = &Json::Null;
        match self {
            Json::Object(members) => members.get(name).unwrap_or(NONE),
            _ => NONE,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn take(bytes: &[u8], position: &mut usize, wanted: u8) -> Option<()> {
    skip(bytes, position);
    (bytes.get(*position) == Some(&wanted)).then(|| *position += 1)
}

fn value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip(bytes, position);
    match *bytes.get(*position)? {
        b'{' => {
            *position += 1;
            let mut members = BTreeMap::new();
            if take(bytes, position, b'}').is_some() {
                return Some(Json::Object(members));
            }
            loop {
                skip(bytes, position);
                let name = string(bytes, position)?;
                take(bytes, position, b':')?;
                members.insert(name, value(bytes, position)?);
                if take(bytes, position, b',').is_none() {
                    take(bytes, position, b'}')?;
                    return Some(Json::Object(members));
                }
            }
        }
        b'[' => {
            *position += 1;
            let mut list = Vec::new();
            if take(bytes, position, b']').is_some() {
                return Some(Json::List(list));
            }
            loop {
                list.push(value(bytes, position)?);
                if take(bytes, position, b',').is_none() {
                    take(bytes, position, b']')?;
                    return Some(Json::List(list));
                }
            }
        }
        b'"' => string(bytes, position).map(Json::Text),
        _ => {
            let start = *position;
            while bytes
                .get(*position)
                .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte))
            {
                *position += 1;
            }
            match std::str::from_utf8(&bytes[start..*position]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(bytes: &[u8], position: &mut usize) -> Option<String> {
    if bytes.get(*position) != Some(&b'"') {
        return None;
    }
    *position += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*position)? {
            b'"' => {
                *position += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*position + 1)?;
                *position += 2;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*position..*position + 4)?).ok()?;
                        let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        text.extend_from_slice(code.to_string().as_bytes());
                        *position += 4;
                    }
                    other => text.push(other),
                }
            }
            byte => {
                text.push(byte);
                *position += 1;
            }
        }
    }
}

/// Encodes bytes in Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
