//! A small JSON reader, enough for the calls of the system to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        if let Json::Map(map) = self { map.get(key) } else { None }
    }

    pub fn text(&self, key: &str) -> String {
        if let Some(Json::Text(text)) = self.get(key) { text.clone() } else { String::new() }
    }

    pub fn number(&self, key: &str) -> u64 {
        if let Some(Json::Number(number)) = self.get(key) { *number as u64 } else { 0 }
    }

    pub fn list(&self, key: &str) -> Vec<Json> {
        if let Some(Json::List(list)) = self.get(key) { list.clone() } else { Vec::new() }
    }
}

pub fn parse(text: &[u8]) -> Option<Json> {
    Reader { text, at: 0 }.value()
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                let mut map = BTreeMap::new();
                self.at += 1;
                while self.peek()? != b'}' {
                    let Json::Text(key) = self.value()? else { return None };
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    map.insert(key, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Map(map))
            }
            b'[' => {
                let mut list = Vec::new();
                self.at += 1;
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => {
                self.at += 1;
                let mut bytes = Vec::new();
                loop {
                    let byte = *self.text.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'"' => return Some(Json::Text(String::from_utf8(bytes).ok()?)),
                        b'\\' => {
                            let escaped = *self.text.get(self.at)?;
                            self.at += 1;
                            bytes.push(match escaped {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                b'u' => {
                                    // Names and Base64 need no characters beyond ASCII.
                                    let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                                    self.at += 4;
                                    u8::from_str_radix(hex, 16).ok()?
                                }
                                other => other,
                            });
                        }
                        other => bytes.push(other),
                    }
                }
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b)) {
                    self.at += 1;
                }
                match &self.text[start..self.at] {
                    b"null" => Some(Json::Null),
                    b"true" | b"false" => Some(Json::Bool),
                    number => std::str::from_utf8(number).ok()?.parse().ok().map(Json::Number),
                }
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Base64 of `bytes`, with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0_u32, |word, (i, b)| word | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            let index = (word >> (18 - 6 * i)) as usize & 63;
            out.push(if i <= chunk.len() { char::from(ALPHABET[index]) } else { '=' });
        }
    }
    out
}
