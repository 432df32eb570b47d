//! Logs to standard output, one line of key=value pairs per event, never waiting for the reader.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines that may wait for a slow reader: seconds of an ordinary day, and at most about a megabyte.
const RING_LENGTH: usize = 4_096;

/// Pause of the writer after each batch, so that many lines cost one wakeup and one call.
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// `RingAppender` hands lines to a thread that writes them.
///
/// A reader that stops reading fills its pipe, and a line written there directly would block a
/// request. The bounded ring takes lines meanwhile, and counts those that find no place.
struct RingAppender {
    encoder: PatternEncoder,
    lines: Sender<Vec<u8>>,
    dropped: AtomicU64,
}

impl fmt::Debug for RingAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RingAppender")
            .field("waiting", &self.lines.len())
            .finish_non_exhaustive()
    }
}

impl Append for RingAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!("event=log_lines_dropped count={dropped}\n");
            line.0.extend_from_slice(note.as_bytes());
        }
        match self.lines.try_send(line.0) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        batch.extend_from_slice(&first);
        for line in lines.try_iter() {
            batch.extend_from_slice(&line);
        }
        let mut output = io::stdout().lock();
        // Nobody is left to tell if standard output is closed.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        drop(output);
        batch.clear();
        thread::sleep(BATCH_PAUSE);
    }
}

/// `open_log` sends the process's log lines to standard output.
///
/// # Errors
///
/// Fails if a log is open already.
pub fn open_log(level: LevelFilter) -> Result<log4rs::Handle, log::SetLoggerError> {
    let encoder = PatternEncoder::new("time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}");
    let (lines, waiting) = bounded(RING_LENGTH);
    thread::spawn(move || write_lines(&waiting));
    let ring = RingAppender {
        encoder,
        lines,
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("ring", Box::new(ring)))
        .build(Root::builder().appender("ring").build(level));
    match config {
        Ok(config) => log4rs::init_config(config),
        Err(error) => unreachable!("the configuration above names one appender: {error}"),
    }
}

/// `flush_log` gives the writer time for the last lines of a process that ends.
pub fn flush_log() {
    thread::sleep(BATCH_PAUSE * 3);
}
