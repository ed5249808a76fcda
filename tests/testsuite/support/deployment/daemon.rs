//! Daemons as child processes; each is signalled by its process ID and killed when dropped.

use std::collections::BTreeSet;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

/// First port of the tests; below the ephemeral ports of the system.
const FIRST_PORT: u16 = 10_000;

/// Number of ports that tests may use.
const PORT_COUNT: u16 = 20_000;

/// Held by the test that runs daemons: one deployment at a time, so that none starves another.
static EXCLUSIVE: sync::Mutex<()> = sync::Mutex::new(());

/// Waits until no other test runs daemons.
pub fn exclusive() -> sync::MutexGuard<'static, ()> {
    // A test that panicked has killed its daemons too.
    EXCLUSIVE.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

static NEXT_PORT: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Returns a loopback address with an unused port that this process has not returned before.
pub fn free_addr() -> net::SocketAddr {
    // Concurrent test processes start at different ports.
    let offset = (process::id() % 199) as u16 * 100;
    loop {
        let next = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(next) % PORT_COUNT;
        let addr = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Process IDs of the running daemons.
static RUNNING: sync::Mutex<BTreeSet<u32>> = sync::Mutex::new(BTreeSet::new());

fn lock_running() -> sync::MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Returns the process IDs of the running daemons.
pub fn running_ids() -> BTreeSet<u32> {
    lock_running().clone()
}

/// A daemon program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// `hemlockcleat-control`.
    Control,
    /// `hemlockcleat-entry`.
    Entry,
    /// `hemlockcleat-agent`.
    Agent,
}

impl Program {
    fn path(self) -> &'static str {
        match self {
            Program::Control => env!("CARGO_BIN_EXE_hemlockcleat-control"),
            Program::Entry => env!("CARGO_BIN_EXE_hemlockcleat-entry"),
            Program::Agent => env!("CARGO_BIN_EXE_hemlockcleat-agent"),
        }
    }
}

/// A running daemon; killed when dropped.
pub struct Daemon {
    name: String,
    child: process::Child,
    log: path::PathBuf,
}

impl Daemon {
    /// Writes the settings to `folder` and starts the program with them. Its log is written to
    /// `folder` too.
    pub fn start(
        program: Program,
        name: &str,
        folder: &path::Path,
        settings: &serde_json::Value,
    ) -> Self {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = folder.join(format!("{name}.log"));
        let open = || fs::OpenOptions::new().create(true).append(true).open(&log).expect("a log");
        let child = process::Command::new(program.path())
            .arg(&file)
            .stdin(process::Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn()
            .expect("the program starts");
        lock_running().insert(child.id());
        Self { name: name.to_owned(), child, log }
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let sent = process::Command::new("kill")
            .args(["-s", signal, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(sent.success(), "{} takes {signal}", self.name);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(mut self) {
        self.end();
    }

    /// Requests a planned stop; returns whether the process exited with success within `timeout`.
    pub async fn stop(mut self, timeout: time::Duration) -> bool {
        self.signal("TERM");
        let deadline = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("its own child") {
                return status.success();
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock_running().remove(&self.child.id());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<_> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(12)..];
            eprintln!("--- {}\n{}", self.name, tail.join("\n"));
        }
    }
}
