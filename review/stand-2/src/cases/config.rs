//! Invalid configurations.

use super::*;

/// A configuration comes whose bytes are no JSON, since a text in it is encoded as Latin-1.
pub fn bytes(folder: &Path, trouble: bool) -> Verdict {
    or_verdict(|| {
        let routes = json!([route("plain", "service-1", 1)]);
        let mut bed = Bed::start(folder, 1, routes.clone())?;
        bed.warm_up("plain")?;
        let mut config = bed.site.configuration(routes);
        config["services"][0]["healthCheckPath"] = "/sant\u{e9}".into();
        let text = config.to_string();
        let sent = match trouble {
            // Latin-1 has one byte for each of these characters.
            true => text.chars().map(|c| u8::try_from(u32::from(c)).unwrap_or(b'?')).collect(),
            false => text.into_bytes(),
        };
        let status = bed.site.put_config(2, &sent);
        pause(3.0);
        let mut unreadable = Vec::new();
        for machine in 1..=3 {
            let Some((status, body)) = bed.site.read_config(machine) else { continue };
            let read: Result<Value, _> = serde_json::from_slice(&body);
            record::line(match &read {
                Ok(read) => {
                    format!("control-{machine} gives {status}, version {}", read["version"])
                }
                Err(error) => format!("control-{machine} gives {status}, no JSON: {error}"),
            });
            if status == 200 && read.is_err() {
                unreadable.push(machine);
            }
        }
        check_processes(&mut bed.site);
        match (trouble, status) {
            (_, None) => Err(Verdict::NotRun("the configuration was not answered".to_owned())),
            (false, Some(200)) | (true, Some(400..500)) if unreadable.is_empty() => {
                Ok(Verdict::Held)
            }
            (_, Some(status)) => Ok(Verdict::Broken(format!(
                "the configuration was answered with {status}; machines that then give one that \
                 can't be read: {unreadable:?}"
            ))),
        }
    })
}
