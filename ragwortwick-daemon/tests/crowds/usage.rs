//! Memory and descriptors of a process, as the system counts them.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use ragwortwick_standin::Daemon;

/// Pause between two samples.
const SAMPLE_PAUSE: Duration = Duration::from_millis(50);

/// Columns of a line of `/proc/net/tcp`: the local address, and the queues of bytes sent and received.
const LOCAL_ADDRESS_COLUMN: usize = 1;
const QUEUES_COLUMN: usize = 4;

const BYTES_PER_MB: u64 = 1 << 20;

/// `UsageBounds` are the limits of a host's machine.
#[derive(Clone, Copy, Debug)]
pub struct UsageBounds {
    /// Memory, bytes received and not read included.
    pub memory_mb: u64,
    /// Open descriptors.
    pub fds: u64,
}

#[derive(Debug, Default)]
struct Peaks {
    memory_bytes: AtomicU64,
    fds: AtomicU64,
    is_closed: AtomicBool,
}

/// `UsageMonitor` samples a running host.
#[derive(Debug)]
pub struct UsageMonitor {
    pid: u32,
    peaks: Arc<Peaks>,
    sampling: Option<JoinHandle<()>>,
}

impl UsageMonitor {
    /// Samples the host until `close_within`.
    pub async fn spawn(host: &Daemon) -> Self {
        let pid = host.pid().expect("the host runs");
        let mut ports = vec![port_of(host.address())];
        for address in [host.ready_address().await, host.metrics_address().await] {
            ports.push(port_of(&address.expect("an address")));
        }
        let peaks = Arc::new(Peaks::default());
        let shared = Arc::clone(&peaks);
        let sampling = std::thread::spawn(move || {
            while !shared.is_closed.load(Ordering::Relaxed) {
                sample(pid, &ports, &shared);
                std::thread::sleep(SAMPLE_PAUSE);
            }
        });
        Self {
            pid,
            peaks,
            sampling: Some(sampling),
        }
    }

    /// Stops sampling and checks that the host lives and stayed within the bounds.
    pub fn close_within(mut self, bounds: UsageBounds) {
        self.stop();
        let resident = status_kb(self.pid, "VmHWM:").expect("the host lives") * 1_024;
        let memory = self.peaks.memory_bytes.load(Ordering::Relaxed);
        let memory_mb = memory.max(resident) / BYTES_PER_MB;
        let fds = self.peaks.fds.load(Ordering::Relaxed);
        println!("peak memory {memory_mb} MB, peak descriptors {fds}");
        assert!(
            memory_mb < bounds.memory_mb && fds <= bounds.fds,
            "the host used {memory_mb} MB and {fds} descriptors, beyond {bounds:?}"
        );
    }
}

impl UsageMonitor {
    fn stop(&mut self) {
        self.peaks.is_closed.store(true, Ordering::Relaxed);
        if let Some(sampling) = self.sampling.take() {
            sampling.join().expect("the samples are taken");
        }
    }
}

impl Drop for UsageMonitor {
    fn drop(&mut self) {
        self.stop();
    }
}

fn port_of(address: &str) -> u16 {
    let port = address.rsplit(':').next();
    port.and_then(|port| port.parse().ok()).expect("ip:port")
}

fn sample(pid: u32, ports: &[u16], peaks: &Peaks) {
    let Some(resident_kb) = status_kb(pid, "VmRSS:") else {
        return;
    };
    let memory = resident_kb * 1_024 + unread_bytes(ports);
    peaks.memory_bytes.fetch_max(memory, Ordering::Relaxed);
    if let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) {
        let fds = entries.count() as u64;
        peaks.fds.fetch_max(fds, Ordering::Relaxed);
    }
}

/// A value of the process's status in kilobytes; none if the process is gone.
fn status_kb(pid: u32, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Bytes that were received on the ports and not read yet.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = columns.get(LOCAL_ADDRESS_COLUMN)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let (_, received) = columns.get(QUEUES_COLUMN)?.split_once(':')?;
        ports
            .contains(&port)
            .then(|| u64::from_str_radix(received, 16).ok())?
    });
    unread.sum()
}
