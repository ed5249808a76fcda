//! Output as tables or as JSON.

use std::io;
use std::io::Write as _;

use crate::cli::error;

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// A table for people.
    #[default]
    Table,
    /// JSON as the entry sent it.
    Json,
}

/// Prints a value as indented JSON.
pub fn json(value: &impl serde::Serialize) -> Result<(), error::Error> {
    let text = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
    line(&text)
}

/// Prints one line.
pub fn line(text: &str) -> Result<(), error::Error> {
    let mut out = io::stdout().lock();
    writeln!(out, "{text}")?;
    Ok(())
}

/// Prints the lines of a text, with control characters replaced.
pub fn text(text: &str) -> Result<(), error::Error> {
    text.lines().try_for_each(|row| line(&row.chars().map(replace_control).collect::<String>()))
}

/// Prints a table whose columns are as wide as their longest cell.
pub fn table(headers: &[&str], rows: &[Vec<String>]) -> Result<(), error::Error> {
    let mut widths: Vec<usize> = headers.iter().map(|header| header.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headers: Vec<String> = headers.iter().map(|header| (*header).to_owned()).collect();
    line(&aligned(&headers, &widths))?;
    for row in rows {
        line(&aligned(row, &widths))?;
    }
    Ok(())
}

fn aligned(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        let printable: String = cell.chars().map(replace_control).collect();
        text.push_str(&format!("{printable:width$}  "));
    }
    text.trim_end().to_owned()
}

/// Replaces control characters, so that names and details can't control the terminal.
fn replace_control(character: char) -> char {
    if character.is_control() { '\u{fffd}' } else { character }
}

/// Prints name and value pairs, one per line.
pub fn pairs(pairs: &[(&str, String)]) -> Result<(), error::Error> {
    let width = pairs.iter().map(|(name, _)| name.len()).max().unwrap_or_default();
    for (name, value) in pairs {
        let printable: String = value.chars().map(replace_control).collect();
        line(&format!("{name:width$}  {printable}"))?;
    }
    Ok(())
}

/// Formats a Boolean as `yes` or `no`.
pub fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
