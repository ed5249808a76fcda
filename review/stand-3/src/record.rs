//! What was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.duration_since(self.1).as_secs_f64()
    }
}
