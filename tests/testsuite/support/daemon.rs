//! A daemon as a process of its own: started with settings, signalled, and watched.

use std::fs;
use std::net;
use std::process;
use std::time;

use rustix::process as signals;

/// How long a daemon may take to open its port, and to end.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// The pause before a daemon is looked at again.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// Processor time is counted in so many parts of a second.
const TICKS: f64 = 100.0;

pub struct Daemon {
    child: process::Child,
    addr: net::SocketAddr,
    folder: tempfile::TempDir,
}

impl Daemon {
    /// Starts a program with settings, and waits until it says which address it listens on.
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
            assert!(since.elapsed() < PATIENCE, "no address in the log: {text}");
            tokio::time::sleep(PAUSE).await;
        };
        Self { child, addr, folder }
    }

    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).expect("the log")
    }

    fn signal(&self, signal: signals::Signal) {
        let pid = signals::Pid::from_child(&self.child);
        signals::kill_process(pid, signal).expect("a signal");
    }

    pub fn freeze(&self) {
        self.signal(signals::Signal::STOP);
    }

    pub fn thaw(&self) {
        self.signal(signals::Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(signals::Signal::TERM);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> process::ExitStatus {
        let since = time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(since.elapsed() < PATIENCE, "it does not end");
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn proc(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).expect("a process")
    }

    /// The most memory it has held, in KiB.
    pub fn memory(&self) -> u64 {
        let status = self.proc("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().split(' ').next());
        number.and_then(|number| number.parse().ok()).expect("its memory")
    }

    /// The processor time it has used, in seconds.
    pub fn processor(&self) -> f64 {
        let stat = self.proc("stat");
        let rest = stat.rsplit(')').next().expect("fields");
        let fields: Vec<f64> = rest.split(' ').filter_map(|field| field.parse().ok()).collect();
        // Behind the name and the state, which are no numbers, user and system time are 10 and 11.
        (fields[10] + fields[11]) / TICKS
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
