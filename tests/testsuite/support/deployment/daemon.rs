//! The daemons as child processes: started, signalled by their own ids, and always ended.

use std::collections::BTreeSet;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

/// The first port that tests try; below the ports that the system gives out by itself.
const FIRST_PORT: u16 = 10_000;

/// Ports that tests may use.
const PORTS: u16 = 20_000;

/// Held by whoever runs daemons: one deployment at a time, so that none starves another.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

/// Waits for this test's turn to run daemons.
pub fn turn() -> sync::MutexGuard<'static, ()> {
    // A test that failed in its turn has ended its daemons all the same.
    TURN.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

static NEXT_PORT: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// A loopback address whose port nobody listens on, not given out before in this process.
pub fn free_addr() -> net::SocketAddr {
    // Different test processes start at different ports.
    let offset = (process::id() % 199) as u16 * 100;
    loop {
        let next = NEXT_PORT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(next) % PORTS;
        let addr = net::SocketAddr::from(([127, 0, 0, 1], port));
        if net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// The daemons that run now.
static RUNNING: sync::Mutex<BTreeSet<u32>> = sync::Mutex::new(BTreeSet::new());

fn lock_running() -> sync::MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The processes of the daemons that run now.
pub fn running() -> BTreeSet<u32> {
    lock_running().clone()
}

/// A program of the system.
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

/// A running daemon; killed when it is dropped.
pub struct Daemon {
    name: String,
    child: process::Child,
    log: path::PathBuf,
}

impl Daemon {
    /// Writes the settings to `folder` and starts the program with them; its log goes there too.
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

    /// Its process.
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

    /// Ends it without warning, and waits until it is gone.
    pub fn kill(mut self) {
        self.end();
    }

    /// Asks for the planned stop and waits for it; true if it ended by itself with success.
    pub async fn stop(mut self, bound: time::Duration) -> bool {
        self.signal("TERM");
        let deadline = tokio::time::Instant::now() + bound;
        while tokio::time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("its own child") {
                return status.success();
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        false
    }

    /// The log so far.
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
