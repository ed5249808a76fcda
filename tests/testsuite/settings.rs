//! Tests of the settings of each program: errors name the invalid field.

use hemlockcleat::settings;
use hemlockcleat::settings::control;
use hemlockcleat::settings::telemetry;
use rstest::rstest;
use serde_json::json;

const A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const A_UPPER: &str = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA";
const G: &str = "gggggggggggggggggggggggggggggggggggggggggggggggggggggggggggggggg";

fn control_settings() -> serde_json::Value {
    json!({
        "replica": 1,
        "data_center": "perth-1",
        "data_folder": "/var/lib/hemlockcleat",
        "listen": "10.0.1.10:7000",
        "http": "10.0.1.10:7001",
        "peers": [
            {"replica": 1, "addr": "10.0.1.10:7000"},
            {"replica": 2, "addr": "10.0.2.10:7000"},
            {"replica": 3, "addr": "10.0.3.10:7000"},
        ],
    })
}

/// Sets the value at a JSON pointer; null removes the field.
fn with(mut settings: serde_json::Value, path: &str, value: serde_json::Value) -> String {
    let (parent, field) = path.rsplit_once('/').expect("a pointer starts with a slash");
    let parent = settings.pointer_mut(parent).expect("the parent exists");
    match parent {
        serde_json::Value::Array(items) => {
            items[field.parse::<usize>().expect("an index")] = value;
        }
        serde_json::Value::Object(fields) if value.is_null() => drop(fields.remove(field)),
        serde_json::Value::Object(fields) => drop(fields.insert(field.to_owned(), value)),
        _ => panic!("{path} is not a field"),
    }
    settings.to_string()
}

#[test]
fn control_accepted() {
    let text = control_settings().to_string();
    let settings: control::Settings = settings::parse(&text).expect("valid settings");
    assert_eq!(settings.telemetry.log.level, telemetry::Level::Info);
    assert_eq!(settings.telemetry.log.format, telemetry::Format::Json);
    let text = with(control_settings(), "/listen", json!("0.0.0.0:7000"));
    settings::parse::<control::Settings>(&text).expect("listening on every address");
    let mut advertised = control_settings();
    advertised["advertise"] = json!("10.0.1.10:7000");
    let text = with(advertised, "/listen", json!("192.168.0.1:7002"));
    settings::parse::<control::Settings>(&text)
        .expect("an advertised address other than the listen address");
    let text = with(control_settings(), "/replica", json!(4));
    settings::parse::<control::Settings>(&text).expect("a replica that replaces a founding one");
}

#[rstest]
#[case::replica_zero("/replica", json!(0), "replica: must be 1 to 4294967295, not 0")]
#[case::replica_missing("/replica", json!(null), "missing field `replica`")]
#[case::replica_type("/replica", json!("one"), "replica: invalid type: string")]
#[case::unknown_field("/replicas", json!(1), "replicas: unknown field `replicas`")]
#[case::center_empty("/data_center", json!(""), "data_center: must be 1 to 64 letters")]
#[case::center_markup("/data_center", json!("<b>"), "data_center: must be 1 to 64 letters")]
#[case::folder_empty("/data_folder", json!(""), "data_folder: must not be empty")]
#[case::listen_name("/listen", json!("localhost:7000"), "listen: invalid socket address")]
#[case::listen_other("/listen", json!("10.0.1.11:7000"), "listen: must be 10.0.1.10:7000")]
#[case::advertise("/advertise", json!("10.0.9.9:7000"), "advertise: must be 10.0.1.10:7000")]
#[case::http_clash("/http", json!("10.0.1.10:7000"), "http: 10.0.1.10:7000 clashes with listen")]
#[case::http_clash_any("/http", json!("0.0.0.0:7000"), "http: 0.0.0.0:7000 clashes with listen")]
#[case::peers_empty("/peers", json!([]), "peers: must hold 1 to 16 addresses")]
#[case::peer_twice("/peers/1/addr", json!("10.0.1.10:7000"), "peers[1]: 10.0.1.10:7000 stands")]
#[case::peer_number("/peers/1/replica", json!(3), "peers[2].replica: replica 3 stands here twice")]
#[case::peer_zero("/peers/1/replica", json!(0), "peers[1].replica: must be 1 to 4294967295")]
#[case::peer_any("/peers/1/addr", json!("0.0.0.0:7000"), "peers[1]: must be an IP number")]
#[case::peer_port("/peers/1/addr", json!("10.0.2.10:0"), "peers[1]: must be an IP number")]
#[case::peer_unknown("/peers/1/port", json!(1), "peers[1].port: unknown field `port`")]
#[case::level("/telemetry", json!({"log": {"level": "loud"}}), "telemetry.log.level: unknown")]
#[case::format("/telemetry", json!({"log": {"format": 3}}), "telemetry.log.format: ")]
#[case::telemetry("/telemetry", json!({"logs": {}}), "telemetry.logs: unknown field `logs`")]
fn control_fault(#[case] path: &str, #[case] value: serde_json::Value, #[case] expected: &str) {
    let text = with(control_settings(), path, value);
    let error = settings::parse::<control::Settings>(&text).expect_err("an error");
    assert!(error.to_string().contains(expected), "{error}");
}

#[rstest]
#[case::empty("", ".")]
#[case::truncated("{\"replica\": 1,", ".")]
#[case::trailing("{} {}", ".")]
#[case::list("[]", ".")]
fn control_form_fault(#[case] text: &str, #[case] field: &str) {
    let error = settings::parse::<control::Settings>(text).expect_err("an error");
    let settings::Error::Form(path, _) = error else { panic!("{error}") };
    assert_eq!(path, field);
}

#[test]
fn load_missing_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("none.json");
    let error = settings::load::<control::Settings>(&file).expect_err("no file");
    assert!(error.to_string().contains("none.json"), "{error}");
}

#[rstest]
#[case::short(["ab", ""], "operators[0]: must be a SHA-256 digest of 64 hexadecimal digits")]
#[case::not_hexadecimal([G, A], "operators[0]: must be a SHA-256 digest")]
#[case::twice([A, A_UPPER], "operators[1]: the digest stands here twice")]
fn digests_fault(#[case] digests: [&str; 2], #[case] expected: &str) {
    let digests = digests.map(str::to_owned);
    let error = settings::check::digests("operators", &digests).expect_err("an error");
    assert!(error.to_string().contains(expected), "{error}");
}
