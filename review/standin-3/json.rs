//! Just enough JSON for the platform's interfaces, and base64.

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    /// `null`, and what is missing.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Num(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// A table, in the order in which it was written.
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is not valid.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// The field of a table.
    pub fn field(&self, name: &str) -> &Json {
        let Self::Table(fields) = self else {
            return &Self::Null;
        };
        let found = fields.iter().find(|(key, _)| key == name);
        found.map_or(&Self::Null, |(_, value)| value)
    }

    /// The entries of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    /// A text; empty if it is none.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// A whole number; 0 if it is none.
    pub fn number(&self) -> u64 {
        match self {
            Self::Num(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += if found { word.len() } else { 0 };
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").then_some(Json::Bool(true)),
            b'f' => self.take("false").then_some(Json::Bool(false)),
            b'n' => self.take("null").then_some(Json::Null),
            _ => self.number(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.space();
            if self.take("}") {
                return Some(Json::Table(fields));
            }
            if !fields.is_empty() && !self.take(",") {
                return None;
            }
            self.space();
            let key = self.string()?;
            self.space();
            if !self.take(":") {
                return None;
            }
            fields.push((key, self.value()?));
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut entries = Vec::new();
        loop {
            self.space();
            if self.take("]") {
                return Some(Json::List(entries));
            }
            if !entries.is_empty() && !self.take(",") {
                return None;
            }
            entries.push(self.value()?);
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take("\"") {
            return None;
        }
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let hex = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            out.extend_from_slice(text.as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        let length = rest.iter().take_while(|b| is_part(b)).count();
        let text = std::str::from_utf8(&rest[..length]).ok()?;
        self.at += length;
        text.parse().ok().map(Json::Num)
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for n in 0..4 {
            if n <= chunk.len() {
                let digit = (bits >> (18 - 6 * n)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
