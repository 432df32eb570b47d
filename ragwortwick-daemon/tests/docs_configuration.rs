//! docs/CONFIGURATION.md names the fields, bounds and defaults that the settings really have.

use ragwortwick_daemon::{FieldKind, SETTINGS_FIELDS, Settings, SettingsField};

const PAGE: &str = include_str!("../../docs/CONFIGURATION.md");

/// The first three cells of the field's row, as the page should have them.
fn expected_row(field: &SettingsField) -> String {
    let value = match field.kind {
        FieldKind::Name => "name".to_owned(),
        FieldKind::Address {
            may_be_any_port: true,
        } => "ip:port or port 0".to_owned(),
        FieldKind::Address {
            may_be_any_port: false,
        } => "ip:port".to_owned(),
        FieldKind::Integer { least, most } => format!("{least} to {most}"),
    };
    let default = field
        .default
        .map_or("required".to_owned(), |default| default.to_string());
    format!("| `{}` | {value} | {default} | ", field.name)
}

#[test]
fn verify_the_page_has_one_true_row_for_each_field() {
    let rows: Vec<&str> = PAGE.lines().filter(|l| l.starts_with("| `")).collect();
    for field in SETTINGS_FIELDS {
        let expected = expected_row(field);
        assert!(
            rows.iter().any(|row| row.starts_with(&expected)),
            "docs/CONFIGURATION.md lacks a row that starts with {expected}"
        );
    }
    assert_eq!(rows.len(), SETTINGS_FIELDS.len(), "rows without a field");
}

#[test]
fn verify_the_example_on_the_page_is_valid() {
    let example: String = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("    "))
        .collect();
    Settings::parse(&example).expect("the example on the page");
}
