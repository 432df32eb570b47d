//! Memory and processor time of a process, as its system counts them.

use std::io;

/// Clock ticks a second in `/proc`; fixed on every Linux of today.
const TICKS_PER_S: f64 = 100.0;

/// `resident_kb` reads a process's resident memory in kilobytes.
///
/// # Errors
///
/// Fails if the process is gone or its status has another form.
pub fn resident_kb(pid: u32) -> io::Result<u32> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.map(|line| line.trim().trim_end_matches(" kB"));
    number
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| io::Error::other("no VmRSS in the status"))
}

/// `processor_seconds` reads a process's processor time in seconds, user and system together.
///
/// # Errors
///
/// Fails if the process is gone or its status has another form.
pub fn processor_seconds(pid: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in brackets may hold blanks; the fields after it do not.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = |index: usize| fields.split_whitespace().nth(index)?.parse::<u32>().ok();
    match (ticks(11), ticks(12)) {
        (Some(user), Some(system)) => Ok(f64::from(user + system) / TICKS_PER_S),
        _ => Err(io::Error::other("no processor times in the stat")),
    }
}
