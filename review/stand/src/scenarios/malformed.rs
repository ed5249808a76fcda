//! Truncated, oversized, nested and wrongly typed input to every listener.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::*;

const ROUNDS: u64 = 400;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result {
    let (deployment, workers) = start(record, 2, 2, &[("/q/", 1)])?;
    let mut addrs = vec![];
    for index in 0..3 {
        let control = deployment.control_addr(index);
        addrs.extend([control, SocketAddr::new(control.ip(), control.port() + 4)]);
        addrs.push(SocketAddr::new(control.ip(), control.port() + 10));
    }
    for index in 0..2 {
        addrs.extend([deployment.entry_addr(index), deployment.ready_addr(index)]);
        addrs.push(deployment.agent_addr(index));
    }
    let ids = |deployment: &Deployment| -> Vec<u32> {
        let nodes = deployment.controls.iter().chain(&deployment.entries).chain(&deployment.agents);
        nodes.map(Deployment::pid).collect()
    };
    let before = ids(&deployment);
    let mut seed = 88_172_645_463_325_252_u64;
    let mut random = |bound: u64| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        seed % bound
    };
    let beat = workers[0].next_beat();
    let config = config(9, &[("/q/", 1)], &[KEY]).to_string();
    let job = r#"{"spec":"work 1","phases":[{"count":1,"cpu":1,"estimatedMs":5}],"repeatCount":3}"#;
    for _ in 0..if trouble { ROUNDS } else { 0 } {
        for addr in &addrs {
            let (method, path, body) = match random(5) {
                0 => ("PUT", "/-/config".to_owned(), config.clone()),
                1 => ("PUT", beat.0.clone(), beat.1.clone()),
                2 => ("DELETE", "/q/ffff".to_owned(), String::new()),
                3 => ("GET", "/-/config".to_owned(), String::new()),
                _ => ("POST", format!("/q/{:016x}", random(1 << 40)), job.to_owned()),
            };
            let mut body = body.into_bytes();
            for _ in 0..1 + random(4) {
                if body.is_empty() {
                    break;
                }
                let at = random(body.len() as u64) as usize;
                match random(6) {
                    0 => body.truncate(at),
                    1 => body[at] = random(256) as u8,
                    2 => drop(body.splice(at..at, b"99999999999999999999999".iter().copied())),
                    3 => drop(body.splice(at..at, b"[[[[[[[[[[{{".repeat(50))),
                    4 => drop(body.splice(at..at, b"-1e309".iter().copied())),
                    _ => drop(body.splice(at..at, b"null".iter().copied())),
                }
            }
            let length = body.len() as u64 + if random(10) == 0 { 7 } else { 0 };
            let mut bytes = format!(
                "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token {KEY}\r\n\
                 X-Deadline-Ms: 200\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
                 Connection: close\r\n\r\n"
            )
            .into_bytes();
            bytes.extend(body);
            if random(8) == 0 {
                let at = random(bytes.len() as u64) as usize;
                bytes[at] = random(256) as u8;
            }
            if random(20) == 0 {
                bytes = (0..random(5000)).map(|_| random(256) as u8).collect();
            }
            let timeout = Duration::from_millis(300);
            let Ok(mut stream) = TcpStream::connect_timeout(addr, timeout) else { continue };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(15)));
            let _ = stream.write_all(&bytes);
            let _ = stream.read(&mut [0; 512]);
        }
    }
    record.say(format!("{} messages were sent", addrs.len() as u64 * ROUNDS));
    sleep(3000);
    let gone: Vec<u32> = before
        .into_iter()
        .filter(|id| {
            let state = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            state.is_empty() || state.contains(") Z ")
        })
        .collect();
    let statuses =
        submit(&deployment, "/q/00000000000000f9", &job.replace(",\"repeatCount\":3", ""));
    let done = wait_for(8000, || {
        sleep(200);
        state(&deployment, "/q/00000000000000f9").contains("completed")
    });
    deployment.stop();
    match gone.is_empty() && done {
        true => Ok(Outcome::Held),
        false => Ok(Outcome::Broken(format!("{gone:?} ended; {statuses:?}, completed {done}"))),
    }
}
