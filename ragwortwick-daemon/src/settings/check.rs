//! Checks a settings file whole, so that one run names every mistake.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde_json::{Map, Value};

use super::SettingsProblem;
use super::fields::{FieldKind, SETTINGS_FIELDS, SettingsField};

/// Longest name: it becomes a part of store keys and labels.
const MAX_NAME_BYTES: usize = 64;

/// `checked` gives the file's object with the defaults filled in.
pub(super) fn checked(text: &str) -> Result<Value, Vec<SettingsProblem>> {
    let file: Entries = serde_json::from_str(text)
        .map_err(|error| vec![SettingsProblem::new("settings", error.to_string())])?;
    let mut problems = Vec::new();
    let mut given = given_once(file, &mut problems);
    let mut settings = Map::new();
    for field in SETTINGS_FIELDS {
        let value = given.remove(field.name).or(field.default.map(Value::from));
        match value {
            Some(value) => {
                problems.extend(mistake(field, &value));
                settings.insert(field.name.to_owned(), value);
            }
            None => problems.push(SettingsProblem::new(
                field.name,
                format!("missing: expected {}", expected(field.kind)),
            )),
        }
    }
    problems.extend(given.into_keys().map(unknown));
    if problems.is_empty() {
        Ok(Value::Object(settings))
    } else {
        Err(problems)
    }
}

fn given_once(file: Entries, problems: &mut Vec<SettingsProblem>) -> BTreeMap<String, Value> {
    let mut given = BTreeMap::new();
    for (name, value) in file.0 {
        if given.insert(name.clone(), value).is_some() {
            problems.push(SettingsProblem::new(name, "stands twice in the file"));
        }
    }
    given
}

fn unknown(name: String) -> SettingsProblem {
    let known: Vec<&str> = SETTINGS_FIELDS.iter().map(|field| field.name).collect();
    let problem = format!("unknown field: expected one of {}", known.join(", "));
    SettingsProblem::new(name, problem)
}

fn mistake(field: &SettingsField, value: &Value) -> Option<SettingsProblem> {
    let is_right = match field.kind {
        FieldKind::Name => value.as_str().is_some_and(is_name),
        FieldKind::Address { may_be_any_port } => value
            .as_str()
            .is_some_and(|text| is_address(text, may_be_any_port)),
        FieldKind::Integer { least, most } => value
            .as_u64()
            .is_some_and(|number| (least..=most).contains(&number)),
    };
    (!is_right).then(|| {
        let problem = format!("expected {}, found {value}", expected(field.kind));
        SettingsProblem::new(field.name, problem)
    })
}

fn expected(kind: FieldKind) -> String {
    match kind {
        FieldKind::Name => {
            format!("a text of 1 to {MAX_NAME_BYTES} letters, digits, '.', '_' or '-'")
        }
        FieldKind::Address {
            may_be_any_port: true,
        } => "an address ip:port (port 0 takes a free one)".to_owned(),
        FieldKind::Address {
            may_be_any_port: false,
        } => "an address ip:port".to_owned(),
        FieldKind::Integer { least, most } => format!("a whole number from {least} to {most}"),
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

fn is_address(text: &str, may_be_any_port: bool) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| may_be_any_port || address.port() != 0)
}

/// `Entries` keeps repeated keys, which a map would swallow.
struct Entries(Vec<(String, Value)>);

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(EntriesVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("one JSON object with the settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entries, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Entries(entries))
    }
}
