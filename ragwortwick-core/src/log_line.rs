//! Log events, each written as one line of key=value pairs.

use std::fmt;

/// `LogValue` formats a value so that a pair stays one word.
///
/// An empty value, or one with white space, a quotation mark or an equals sign, is quoted.
#[derive(Debug)]
pub struct LogValue<T>(pub T);

impl<T: fmt::Display> fmt::Display for LogValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        // A newline or a space in a value would break the format, one line per event and one word per pair.
        if text.is_empty() || text.contains(|c: char| c.is_whitespace() || c == '"' || c == '=') {
            write!(f, "{text:?}")
        } else {
            f.write_str(&text)
        }
    }
}

/// `log_event` writes one event as `event=name key=value …` at the given level.
///
/// # Examples
///
/// ```
/// ragwortwick_core::log_event!(Info, "job_accepted", job_id = "j1", accelerators = 8);
/// ```
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::log::log!(
            $crate::log::Level::$level,
            concat!("event={}" $(, " ", stringify!($key), "={}")*),
            $event $(, $crate::LogValue(&$value))*
        )
    };
}
