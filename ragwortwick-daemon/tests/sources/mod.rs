//! Finds the log lines in the sources of every package.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// `warning_events` finds the events of level `Warn` and `Error`.
pub fn warning_events() -> BTreeSet<String> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package.parent().expect("the package stands in a workspace");
    let mut events = BTreeSet::new();
    for entry in fs::read_dir(root).expect("the root").filter_map(Result::ok) {
        let name = entry.file_name();
        let is_shipped = name
            .to_str()
            .is_some_and(|name| name.starts_with("ragwortwick-") && name != "ragwortwick-standin");
        if is_shipped {
            collect(&entry.path().join("src"), &mut events);
        }
    }
    events
}

fn collect(directory: &Path, events: &mut BTreeSet<String>) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for path in entries.filter_map(Result::ok).map(|entry| entry.path()) {
        if path.is_dir() {
            collect(&path, events);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("a source file");
            events.extend(text.split("log_event!(").skip(1).filter_map(warning));
        }
    }
}

/// The event's name, if the call that begins here has one of the two levels.
fn warning(call: &str) -> Option<String> {
    let (level, rest) = call.split_once(',')?;
    let is_warning = matches!(level.trim(), "Warn" | "Error");
    let name = rest.split('"').nth(1)?;
    is_warning.then(|| name.to_owned())
}
