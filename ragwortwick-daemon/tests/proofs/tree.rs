//! The tests of every package of the tree, and which of them are tests of failures.

use std::fs;
use std::path::{Path, PathBuf};

/// Least comment lines that open a test of a failure, as the house rules ask.
const TELLING_LINES: usize = 2;

/// `Test` is one test function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Test {
    /// `package/path::function`, without the prefix of the packages and the directory of tests.
    pub name: String,
    /// Whether it opens by telling what the caller sees, in what order and why.
    pub is_of_failure: bool,
}

/// `tests_of_the_tree` finds every test function of every package.
pub fn tests_of_the_tree(root: &Path) -> Vec<Test> {
    let mut tests = Vec::new();
    for package in directories(root) {
        let Some(short) = short_name(&package) else {
            continue;
        };
        for directory in ["tests", "src"] {
            let base = package.join(directory);
            for file in rust_files(&base) {
                tests.extend(tests_of_file(&short, &base, &file));
            }
        }
    }
    tests
}

fn short_name(package: &Path) -> Option<String> {
    let name = package.file_name()?.to_str()?;
    name.strip_prefix("ragwortwick-").map(str::to_owned)
}

fn directories(root: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(root).expect("the root can be read");
    entries
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .filter(|path| path.is_dir())
        .collect()
}

fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(directory) else {
        return Vec::new();
    };
    let mut files = Vec::new();
    for entry in entries.filter_map(Result::ok) {
        let path = entry.path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

fn tests_of_file(package: &str, base: &Path, file: &Path) -> Vec<Test> {
    let text = fs::read_to_string(file).expect("a source file can be read");
    let relative = file.strip_prefix(base).unwrap_or(file).with_extension("");
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let mut tests = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        if let Some(function) = function_name(line) {
            tests.push(Test {
                name: format!("{package}/{}::{function}", relative.display()),
                is_of_failure: is_told_above(&lines[..index]) || is_told_inside(&lines[index..]),
            });
        }
    }
    tests
}

fn function_name(line: &str) -> Option<&str> {
    let start = line.find("fn verify_")? + "fn ".len();
    let is_definition = matches!(&line[..start], "fn " | "async fn " | "pub fn ");
    let name = line[start..].split('(').next()?;
    is_definition.then_some(name)
}

/// Comment lines right above the function and its attributes.
fn is_told_above(lines: &[&str]) -> bool {
    let above = lines.iter().rev().skip_while(|line| line.starts_with("#["));
    above.take_while(|line| line.starts_with("//")).count() >= TELLING_LINES
}

/// Comment lines that follow the line where the body opens.
fn is_told_inside(lines: &[&str]) -> bool {
    let body = lines.iter().skip_while(|line| !line.ends_with('{')).skip(1);
    body.take_while(|line| line.starts_with("//")).count() >= TELLING_LINES
}
