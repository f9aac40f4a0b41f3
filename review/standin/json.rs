//! A small JSON reader and the base64 of row values.

use std::fmt::Write;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// The field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(NULL, |(_, value)| value),
            _ => NULL,
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
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Parses a text; `None` if it is no JSON.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut at = 0;
    let value = value(text, &mut at)?;
    skip_space(text, &mut at);
    (at == text.len()).then_some(value)
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn expect(text: &[u8], at: &mut usize, word: &[u8]) -> Option<()> {
    text[*at..].starts_with(word).then(|| *at += word.len())
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        b'n' => expect(text, at, b"null").map(|()| Json::Null),
        b't' => expect(text, at, b"true").map(|()| Json::Bool(true)),
        b'f' => expect(text, at, b"false").map(|()| Json::Bool(false)),
        b'"' => string(text, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                if text.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(text, at)?);
                skip_space(text, at);
                if text.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(text, at);
                if text.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                let key = string(text, at)?;
                skip_space(text, at);
                expect(text, at, b":")?;
                fields.push((key, value(text, at)?));
                skip_space(text, at);
                if text.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        _ => {
            let from = *at;
            while text
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[from..*at]).ok()?;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    expect(text, at, b"\"")?;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escape = *text.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'b' => bytes.push(8),
                    b'f' => bytes.push(12),
                    b'u' => {
                        let code = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        let c = char::from_u32(code).unwrap_or('?');
                        bytes.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
            _ => bytes.push(byte),
        }
    }
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// The base64 of some bytes.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .enumerate()
            .fold(0u32, |word, (n, b)| word | u32::from(*b) << (16 - 8 * n));
        for n in 0..4 {
            if n <= chunk.len() {
                let digit = (word >> (18 - 6 * n)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The bytes of a base64 text; other characters are skipped.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}
