//! Defines the `common` attribute, which adds the derives that ragwortwick's types share.

use proc_macro::TokenStream;

const VALUE: &str = "#[derive(Clone, Debug, PartialEq, Eq)]";
const KEY: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]";
const WIRE: &str = "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";

/// `common` puts the derives of one of three sets in front of an item.
///
/// - `#[common]`: plain values (`Clone, Debug, PartialEq, Eq`).
/// - `#[common(key)]`: small copyable keys, ordered and hashable.
/// - `#[common(wire)]`: values that cross a process border through serde.
#[proc_macro_attribute]
pub fn common(set: TokenStream, item: TokenStream) -> TokenStream {
    let derives = match set.to_string().as_str() {
        "" => VALUE,
        "key" => KEY,
        "wire" => WIRE,
        _ => "compile_error!(\"expected #[common], #[common(key)] or #[common(wire)]\");",
    };
    // The sets above always parse; an empty stream would only drop the derives and fail to compile.
    let mut out: TokenStream = derives.parse().unwrap_or_default();
    out.extend(item);
    out
}
