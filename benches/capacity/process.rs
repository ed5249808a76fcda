//! Resource usage of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc`; fixed by the kernel's interface for programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes in a kibibyte.
const KIB: u64 = 1024;

/// Resource usage of one process so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// Reads the usage of a process; returns zero after its exit.
pub fn usage(process: u32) -> Usage {
    Usage { cpu: cpu(process).unwrap_or_default(), memory: memory(process).unwrap_or_default() }
}

fn cpu(process: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The second field is a name in parentheses that may contain spaces.
    let fields = stat.rsplit_once(')')?.1;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * KIB)
}
