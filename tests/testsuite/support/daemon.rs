//! A daemon that runs as a child process with a settings file.

use std::fs;
use std::net;
use std::process;
use std::time;

use rustix::process as signals;

/// Limit for a daemon to open its port, and to exit.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Interval at which a daemon's log and exit status are polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: process::Child,
    addr: net::SocketAddr,
    folder: tempfile::TempDir,
}

impl Daemon {
    /// Starts a program with settings, and waits until it logs the address that it listens on.
    pub async fn start(program: &str, settings: &serde_json::Value) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("settings.json");
        fs::write(&file, settings.to_string()).expect("settings");
        let log = folder.path().join("log");
        let child = process::Command::new(program)
            .arg(&file)
            .stdout(fs::File::create(&log).expect("a log"))
            .stderr(process::Stdio::null())
            .spawn()
            .expect("a process");
        let since = time::Instant::now();
        let addr = loop {
            let text = fs::read_to_string(&log).expect("the log");
            if let Some(addr) = find_addr(&text) {
                break addr;
            }
            assert!(since.elapsed() < TIMEOUT, "no address in the log: {text}");
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        Self { child, addr, folder }
    }

    /// Returns the address that the daemon listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the daemon's log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).expect("the log")
    }

    fn signal(&self, signal: signals::Signal) {
        let pid = signals::Pid::from_child(&self.child);
        signals::kill_process(pid, signal).expect("a signal");
    }

    /// Suspends the process (`SIGSTOP`).
    pub fn suspend(&self) {
        self.signal(signals::Signal::STOP);
    }

    /// Resumes the process (`SIGCONT`).
    pub fn resume(&self) {
        self.signal(signals::Signal::CONT);
    }

    /// Requests a planned stop (`SIGTERM`).
    pub fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits.
    pub async fn wait(&mut self) -> process::ExitStatus {
        let since = time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(since.elapsed() < TIMEOUT, "the daemon does not exit");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn proc(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).expect("a process")
    }

    /// Returns the peak resident memory, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = self.proc("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().split(' ').next());
        number.and_then(|number| number.parse().ok()).expect("its memory")
    }

    /// Returns the processor time used so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = self.proc("stat");
        let rest = stat.rsplit(')').next().expect("fields");
        let fields: Vec<f64> = rest.split(' ').filter_map(|field| field.parse().ok()).collect();
        // After the name and the state, which aren't numbers, fields 10 and 11 are user and system
        // time.
        (fields[10] + fields[11]) / TICKS_PER_SECOND
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn find_addr(log: &str) -> Option<net::SocketAddr> {
    let rest = log.split("role=agent addr=").nth(1)?;
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == ':'))?;
    rest[..end].parse().ok()
}
