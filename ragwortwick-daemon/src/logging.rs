//! Logs to standard output, one line of key=value pairs per event.

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// `open_log` sends the process's log lines to standard output.
///
/// # Errors
///
/// Fails if a log is open already.
pub fn open_log(level: LevelFilter) -> Result<log4rs::Handle, log::SetLoggerError> {
    let encoder = PatternEncoder::new("time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}");
    let console = ConsoleAppender::builder()
        .encoder(Box::new(encoder))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level));
    match config {
        Ok(config) => log4rs::init_config(config),
        Err(error) => unreachable!("the configuration above names one appender: {error}"),
    }
}
