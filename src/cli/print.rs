//! Output: tables for people, JSON for programs.

use std::io;
use std::io::Write as _;

use crate::cli::error;

/// How results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// A table for people.
    #[default]
    Table,
    /// JSON as the entry sent it.
    Json,
}

/// Prints JSON.
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

/// Prints several lines.
pub fn text(text: &str) -> Result<(), error::Error> {
    text.lines().try_for_each(|shown| line(&shown.chars().map(visible).collect::<String>()))
}

/// Prints a table with columns as wide as their longest cell.
pub fn table(heads: &[&str], rows: &[Vec<String>]) -> Result<(), error::Error> {
    let mut widths: Vec<usize> = heads.iter().map(|head| head.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let heads: Vec<String> = heads.iter().map(|head| (*head).to_owned()).collect();
    line(&aligned(&heads, &widths))?;
    for row in rows {
        line(&aligned(row, &widths))?;
    }
    Ok(())
}

fn aligned(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        let shown: String = cell.chars().map(visible).collect();
        text.push_str(&format!("{shown:width$}  "));
    }
    text.trim_end().to_owned()
}

/// Keeps control characters of names and details off the terminal.
fn visible(letter: char) -> char {
    if letter.is_control() { '\u{fffd}' } else { letter }
}

/// Prints name and value pairs, a line each.
pub fn pairs(pairs: &[(&str, String)]) -> Result<(), error::Error> {
    let width = pairs.iter().map(|(name, _)| name.len()).max().unwrap_or_default();
    for (name, value) in pairs {
        let shown: String = value.chars().map(visible).collect();
        line(&format!("{name:width$}  {shown}"))?;
    }
    Ok(())
}

/// `yes` or `no`.
pub fn yes(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
