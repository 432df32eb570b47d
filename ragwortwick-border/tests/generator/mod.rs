//! Turns the JSON schemas into Rust types; shared by the generating example and its check.

use std::error::Error;
use std::fs;
use std::path::Path;

use schemars::schema::RootSchema;
use typify::{TypeSpace, TypeSpaceSettings};

/// Types that the core package defines by hand.
const CORE_TYPES: [&str; 13] = [
    "ClassName",
    "CustomerName",
    "DurationMs",
    "Epoch",
    "GangId",
    "HostName",
    "JobId",
    "RackName",
    "RequestId",
    "Revision",
    "TimeMs",
    "WorkerName",
    "ZoneName",
];

const HEADER: &str = "// Generated from schema/*.json by the example `generate`; do not edit.\n\n";

pub fn generate(package: &Path) -> Result<String, Box<dyn Error>> {
    let mut files: Vec<_> = fs::read_dir(package.join("schema"))?.collect::<Result<Vec<_>, _>>()?;
    files.sort_by_key(fs::DirEntry::file_name);

    // One root joins all files, because references go from file to file.
    let mut root = RootSchema::default();
    for file in files {
        let schema: RootSchema = serde_json::from_str(&fs::read_to_string(file.path())?)?;
        root.definitions.extend(schema.definitions);
    }

    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    for name in CORE_TYPES {
        settings.with_replacement(name, format!("ragwortwick_core::{name}"), [].into_iter());
    }
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(root.definitions)?;
    let file = syn::parse2::<syn::File>(types.to_stream())?;
    Ok(format!(
        "{HEADER}{}",
        tidy_docs(&prettyplease::unparse(&file))
    ))
}

/// The generator repeats each schema inside the doc comments; the schema files already say it.
fn tidy_docs(code: &str) -> String {
    let mut out = String::with_capacity(code.len());
    let mut is_schema = false;
    for line in code.lines() {
        let text = line.trim_start();
        is_schema |= text == "/// <details><summary>JSON schema</summary>";
        if !is_schema && text != "///" {
            let is_tight = text.starts_with("///") && !text.starts_with("/// ");
            out.push_str(&if is_tight {
                line.replacen("///", "/// ", 1)
            } else {
                line.to_owned()
            });
            out.push('\n');
        }
        is_schema &= text != "/// </details>";
    }
    out
}
