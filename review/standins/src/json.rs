//! The part of JSON and base64 that the stand-in of the store needs.

/// JSON value; numbers are whole.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        let Json::Table(fields) = self else { return &Json::Null };
        fields.iter().find(|(own, _)| own == name).map_or(&Json::Null, |(_, value)| value)
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(entries) = self { entries } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number } else { 0 }
    }
}

/// Parses JSON; `None` if it is malformed.
pub fn parse(text: &str) -> Option<Json> {
    let mut rest = text;
    parse_value(&mut rest)
}

fn skip(rest: &mut &str) {
    *rest = rest.trim_start();
}

fn take(rest: &mut &str, mark: char) -> bool {
    skip(rest);
    let after = rest.strip_prefix(mark);
    *rest = after.unwrap_or(rest);
    after.is_some()
}

fn parse_value(rest: &mut &str) -> Option<Json> {
    skip(rest);
    match rest.chars().next()? {
        '{' => {
            take(rest, '{');
            let mut fields = Vec::new();
            while !take(rest, '}') {
                let Json::Text(name) = parse_value(rest)? else { return None };
                if !take(rest, ':') {
                    return None;
                }
                fields.push((name, parse_value(rest)?));
                take(rest, ',');
            }
            Some(Json::Table(fields))
        }
        '[' => {
            take(rest, '[');
            let mut entries = Vec::new();
            while !take(rest, ']') {
                entries.push(parse_value(rest)?);
                take(rest, ',');
            }
            Some(Json::List(entries))
        }
        '"' => parse_text(rest).map(Json::Text),
        first if first.is_ascii_digit() => {
            let end = rest.find(|mark: char| !mark.is_ascii_digit()).unwrap_or(rest.len());
            let number = rest[..end].parse().ok()?;
            *rest = &rest[end..];
            Some(Json::Number(number))
        }
        _ => {
            let end = rest.find(|mark: char| !mark.is_ascii_alphabetic()).unwrap_or(rest.len());
            *rest = rest.get(end.max(1)..)?;
            Some(Json::Null)
        }
    }
}

fn parse_text(rest: &mut &str) -> Option<String> {
    let mut text = String::new();
    let mut marks = rest.char_indices().skip(1);
    while let Some((at, mark)) = marks.next() {
        match mark {
            '"' => {
                *rest = &rest[at + 1..];
                return Some(text);
            }
            '\\' => match marks.next()?.1 {
                'n' => text.push('\n'),
                'u' => {
                    let digits: String = marks.by_ref().take(4).map(|(_, digit)| digit).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
    None
}

/// Text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for mark in text.chars() {
        match mark {
            '"' | '\\' => quoted.extend(['\\', mark]),
            mark if (mark as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", mark as u32)),
            mark => quoted.push(mark),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let joined = group.iter().fold(0_u32, |all, byte| all << 8 | u32::from(*byte));
        let joined = joined << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(joined >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

/// Decodes standard base64 with padding; digits that are not known end it.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut joined, mut bits) = (0_u32, 0);
    for mark in text.bytes() {
        let Some(value) = DIGITS.iter().position(|digit| *digit == mark) else { break };
        joined = joined << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((joined >> bits) as u8);
            joined &= (1 << bits) - 1;
        }
    }
    bytes
}
