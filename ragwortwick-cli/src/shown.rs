//! What a command shows: text for people and the same as JSON for scripts.

use serde::Serialize;
use serde_json::Value;

use crate::{CliError, ExitClass};

/// `Shown` is the result of a command in both forms.
#[derive(Debug)]
pub(crate) struct Shown {
    /// For people.
    pub(crate) text: String,
    /// For scripts.
    pub(crate) json: Value,
}

impl Shown {
    /// `new` keeps the text and turns the value into JSON.
    pub(crate) fn new<T: Serialize>(text: String, value: &T) -> Result<Self, CliError> {
        let json = to_json(value)?;
        Ok(Self { text, json })
    }
}

/// `to_json` turns a value into JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Result<Value, CliError> {
    serde_json::to_value(value).map_err(|error| {
        CliError::new(
            ExitClass::Failed,
            format!("the value can't be written as JSON: {error}"),
            "report this as a bug of ragwortwick",
        )
    })
}
