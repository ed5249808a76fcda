//! Parser of log lines, in JSON or plain format, with or without a leading process name.

use std::io;

use crate::telemetry::event;

/// A numbered event of a process's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The process that logged it; none if unknown.
    pub source: Option<String>,
    /// When it was logged according to the process's clock, in milliseconds since 1970.
    pub at: i64,
    /// The event's number.
    pub event: u16,
    /// The message: the event's number, title and fields.
    pub text: String,
    /// Names and values of the fields.
    fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line; none if it holds no numbered event.
    ///
    /// The text before the event's time, such as a file name from `grep` or a host's name, names
    /// the process. Without such a text, the process is `source`.
    pub fn parse(text: &str, source: Option<&str>) -> Option<Self> {
        // Fields of a plain line may hold braces as well, but only after the event's number.
        let (before, at, message) = match text.find('{') {
            Some(start) if !text[..start].contains(" E") => json(text, start)?,
            _ => plain(text)?,
        };
        let (number, rest) = message.strip_prefix('E')?.split_once(' ')?;
        let (_, fields_text) = rest.split_once(": ").unwrap_or((rest, ""));
        let before = before.split_whitespace().last().map(|word| word.trim_end_matches(':'));
        let named = before.filter(|word| !word.is_empty()).or(source);
        Some(Self {
            source: named.map(str::to_owned),
            at: chrono::DateTime::parse_from_rfc3339(&at).ok()?.timestamp_millis(),
            event: number.parse().ok()?,
            fields: fields(fields_text),
            text: message,
        })
    }

    /// The value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// Whether the line is of a given event.
    pub fn is(&self, event: event::Event) -> bool {
        self.event == event.number
    }

    /// All fields, as names and values.
    pub fn fields(&self) -> &[(String, String)] {
        &self.fields
    }
}

/// Reads all events of a log and skips lines without a numbered event.
pub fn read(input: impl io::BufRead, source: Option<&str>) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in input.split(b'\n') {
        lines.extend(Line::parse(&String::from_utf8_lossy(&text?), source));
    }
    Ok(lines)
}

/// The text before the time, the time, and the message.
type Parts<'a> = (&'a str, String, String);

fn json(text: &str, start: usize) -> Option<Parts<'_>> {
    let value: serde_json::Value = serde_json::from_str(text[start..].trim_end()).ok()?;
    let part = |name: &str| Some(value.get(name)?.as_str()?.to_owned());
    Some((&text[..start], part("at")?, part("message")?))
}

/// Splits a line of the form `TIME LEVEL MESSAGE`.
fn plain(text: &str) -> Option<Parts<'_>> {
    let message = text.find(" E")? + 1;
    let mut words = text[..message].split_whitespace().rev();
    let (_level, at) = (words.next()?, words.next()?);
    // `grep` prefixes the time with the file name and a colon, without a space.
    let year = at.find('T')?.checked_sub("2026-01-01".len())?;
    let time = at.get(year..)?;
    let end = text.find(time)?;
    Some((&text[..end], time.to_owned(), text[message..].trim_end().to_owned()))
}

/// Parses fields of the form `name=value name=value`; a value may hold spaces.
fn fields(fields_text: &str) -> Vec<(String, String)> {
    let mut fields: Vec<(String, String)> = Vec::new();
    for word in fields_text.split(' ') {
        match (word.split_once('='), fields.last_mut()) {
            (Some((name, value)), _) => fields.push((name.to_owned(), value.to_owned())),
            (None, Some((_, value))) => {
                value.push(' ');
                value.push_str(word);
            }
            (None, None) => {}
        }
    }
    fields
}
