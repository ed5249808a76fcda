//! Settings of each program: JSON files, checked whole before a port opens.
//!
//! Unknown fields are refused. A refusal names the path of the faulty field and what is allowed.

use std::fs;
use std::path;

use quick_error::quick_error;

pub mod agent;
pub mod check;
pub mod control;
pub mod entry;
pub mod telemetry;

quick_error! {
    /// Why settings can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(file: path::PathBuf, source: std::io::Error) {
            display("can't read {}: {}", file.display(), source)
            source(source)
        }
        /// The file is not JSON of the expected form.
        Form(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
        /// A value is not allowed.
        Value(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
    }
}

/// Settings that can check their own values.
pub trait Check {
    /// Checks values that the JSON form alone does not.
    fn check(&self) -> Result<(), Error>;
}

/// A refusal of the value of `field`.
pub fn value_error(field: impl Into<String>, detail: impl Into<String>) -> Error {
    Error::Value(field.into(), detail.into())
}

/// The path of the whole text.
const WHOLE: &str = ".";

/// The library's path of text that breaks off before it can name a field.
const NO_PATH: &str = "?";

/// Where text breaks off, line and column in the detail say where.
fn form_error(path: &serde_path_to_error::Path, error: &serde_json::Error) -> Error {
    let path = path.to_string();
    let field = if path == NO_PATH { WHOLE.to_owned() } else { path };
    Error::Form(field, error.to_string())
}

/// Reads settings from JSON text and checks them.
pub fn parse<T: serde::de::DeserializeOwned + Check>(text: &str) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| form_error(error.path(), error.inner()))?;
    reader.end().map_err(|error| Error::Form(WHOLE.to_owned(), error.to_string()))?;
    settings.check()?;
    Ok(settings)
}

/// Reads settings from a file and checks them.
pub fn load<T: serde::de::DeserializeOwned + Check>(file: &path::Path) -> Result<T, Error> {
    let text =
        fs::read_to_string(file).map_err(|source| Error::Read(file.to_path_buf(), source))?;
    parse(&text)
}
