//! Log events as one line of key=value pairs.

use std::fmt;

/// `LogValue` writes a value so that one pair stays one word, quoting it where it has blanks.
#[derive(Debug)]
pub struct LogValue<T>(pub T);

impl<T: fmt::Display> fmt::Display for LogValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        // A newline or blank inside a value would break the one-line, one-pair promise to log readers.
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
