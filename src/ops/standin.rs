//! Stand-in backend server as a process, for experiments and tests.

use std::error;
use std::net;
use std::time;

use crate::ops::daemon;
use crate::standin;
use crate::standin::options;

/// A stand-in backend server: pretends to work and answers with what it was asked.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The agent beside it.
    #[arg(long)]
    pub agent: net::SocketAddr,
    /// The address it listens on; port 0 lets the system pick.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: net::SocketAddr,
    /// The worker's name.
    #[arg(long)]
    pub name: String,
    /// The worker's data centre.
    #[arg(long, default_value = "local")]
    pub data_center: String,
    /// The worker's rack.
    #[arg(long, default_value = "r1")]
    pub rack: String,
    /// A service it offers; may be given more than once.
    #[arg(long = "service", default_value = "booking")]
    pub services: Vec<String>,
    /// Tasks at once.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Connections at once.
    #[arg(long, default_value_t = 64)]
    pub connections: u32,
    /// Accelerators.
    #[arg(long, default_value_t = 8)]
    pub accelerators: u32,
    /// Speed relative to the common worker, in percent.
    #[arg(long, default_value_t = 100)]
    pub speed_percent: u32,
    /// How long a task runs, in milliseconds, unless its payload says otherwise.
    #[arg(long, default_value_t = 20)]
    pub run_ms: u64,
    /// How it behaves, as JSON, such as '{"fails":true}'; also by PUT /switches.
    #[arg(long, default_value = "{}", value_parser = parse_switches)]
    pub switches: options::Switches,
}

fn parse_switches(text: &str) -> Result<options::Switches, serde_json::Error> {
    serde_json::from_str(text)
}

impl From<Args> for options::Options {
    fn from(args: Args) -> Self {
        let mut options = Self::new(args.agent, &args.name, &args.rack);
        options.listen = args.listen;
        options.run_time = time::Duration::from_millis(args.run_ms);
        options.switches = args.switches;
        options.announcement.data_center = args.data_center;
        options.announcement.services = args.services;
        options.announcement.slots = args.slots;
        options.announcement.connections = args.connections;
        options.announcement.accelerators = args.accelerators;
        options.announcement.speed_percent = args.speed_percent;
        options
    }
}

/// Runs the stand-in until SIGTERM or SIGINT. It then announces that it is leaving and waits for
/// its tasks to end.
pub async fn exec(args: Args) -> Result<(), Box<dyn error::Error>> {
    let standin = standin::Standin::start(args.into()).await?;
    println!("stand-in listens on http://{}", standin.addr());
    daemon::stop_signal().await?;
    standin.leave(true);
    standin.drained().await;
    standin.stop().await;
    Ok(())
}
