//! Settings of each program: JSON files that are validated completely before a port is opened.
//!
//! Unknown fields are rejected. An error names the path of the invalid field and the values that
//! are allowed.

use std::fs;
use std::path;

use quick_error::quick_error;

pub mod agent;
pub mod check;
pub mod control;
pub mod entry;
pub mod telemetry;

quick_error! {
    /// An error in reading or validating settings.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(file: path::PathBuf, source: std::io::Error) {
            display("can't read {}: {}", file.display(), source)
            source(source)
        }
        /// The text is not valid JSON or does not match the expected structure.
        Form(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
        /// A value is not allowed.
        Value(field: String, detail: String) {
            display("{}: {}", field, detail)
        }
    }
}

/// Settings that can validate their values.
pub trait Check {
    /// Validates what deserialization does not.
    ///
    /// # Errors
    ///
    /// [`Error::Value`] for the first invalid field.
    fn check(&self) -> Result<(), Error>;
}

/// Creates an error about the value of `field`.
pub fn value_error(field: impl Into<String>, detail: impl Into<String>) -> Error {
    Error::Value(field.into(), detail.into())
}

/// The path of the document's root.
const ROOT_PATH: &str = ".";

/// The path that `serde_path_to_error` gives for text that ends before a field is known.
const UNKNOWN_PATH: &str = "?";

/// Creates an error from that of the JSON parser. The detail holds the line and column, also where
/// the path is unknown.
fn form_error(path: &serde_path_to_error::Path, error: &serde_json::Error) -> Error {
    let path = path.to_string();
    let field = if path == UNKNOWN_PATH { ROOT_PATH.to_owned() } else { path };
    Error::Form(field, error.to_string())
}

/// Parses settings from JSON text and validates them.
pub fn parse<T: serde::de::DeserializeOwned + Check>(text: &str) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| form_error(error.path(), error.inner()))?;
    reader.end().map_err(|error| Error::Form(ROOT_PATH.to_owned(), error.to_string()))?;
    settings.check()?;
    Ok(settings)
}

/// Reads settings from a file and validates them.
pub fn load<T: serde::de::DeserializeOwned + Check>(file: &path::Path) -> Result<T, Error> {
    let text =
        fs::read_to_string(file).map_err(|source| Error::Read(file.to_path_buf(), source))?;
    parse(&text)
}
