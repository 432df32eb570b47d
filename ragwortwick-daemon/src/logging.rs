//! Logging to standard output, one line of key=value pairs per event, without blocking on the reader.

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines that may be queued for a slow reader: some seconds of usual load.
const QUEUE_LENGTH: usize = 4_096;

/// Bytes that may be queued for a slow reader: some lines contain what clients send.
const QUEUED_BYTES: usize = 2 << 20;

/// Longest line; the rest of a longer one is left out.
const MAX_LINE_BYTES: usize = 8 << 10;

/// Pause of the writer after each batch, so that many lines take one wakeup and one system call.
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// `RingAppender` passes log lines to a thread that writes them.
///
/// If the reader stops reading, the pipe fills up, and a direct write would block a request. The bounded
/// queue holds lines meanwhile; lines that arrive while it is full are dropped and counted.
struct RingAppender {
    encoder: PatternEncoder,
    lines: Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
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
        if line.0.len() > MAX_LINE_BYTES {
            line.0.truncate(MAX_LINE_BYTES);
            line.0.push(b'\n');
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!("event=log_lines_dropped count={dropped}\n");
            line.0.extend_from_slice(note.as_bytes());
        }
        let bytes = line.0.len();
        let queued = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        if queued + bytes > QUEUED_BYTES || self.lines.try_send(line.0).is_err() {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write_lines(lines: &Receiver<Vec<u8>>, queued_bytes: &AtomicUsize) {
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        batch.extend_from_slice(&first);
        for line in lines.try_iter() {
            batch.extend_from_slice(&line);
        }
        let mut output = io::stdout().lock();
        // An error cannot be reported anywhere once standard output is closed.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        drop(output);
        queued_bytes.fetch_sub(batch.len(), Ordering::Relaxed);
        batch.clear();
        thread::sleep(BATCH_PAUSE);
    }
}

/// `open_log` directs the log of the process to standard output.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn open_log(level: LevelFilter) -> Result<log4rs::Handle, log::SetLoggerError> {
    let encoder = PatternEncoder::new("time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}");
    let (lines, queued) = bounded(QUEUE_LENGTH);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let written_bytes = Arc::clone(&queued_bytes);
    thread::spawn(move || write_lines(&queued, &written_bytes));
    let appender = RingAppender {
        encoder,
        lines,
        queued_bytes,
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("ring", Box::new(appender)))
        .build(Root::builder().appender("ring").build(level));
    match config {
        Ok(config) => log4rs::init_config(config),
        Err(error) => unreachable!("the configuration above names one appender: {error}"),
    }
}

/// `flush_log` waits for the writer to write the last lines before the process exits.
pub fn flush_log() {
    thread::sleep(BATCH_PAUSE * 3);
}
