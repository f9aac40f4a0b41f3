//! `verify`: a configuration of the users' platform is checked before it is sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use poplar_ctl::output::Output;
use poplar_ctl::query::verify::{InForce, verify};
use poplar_platform::configuration;
use serde_json::{Value, json};

const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../config/deployment.json");

fn sample() -> Value {
    let content = std::fs::read(SAMPLE).unwrap();
    serde_json::from_slice(&content).unwrap()
}

fn set(pointer: &str, value: Value) -> Value {
    let mut config = sample();
    config["version"] = json!(2);
    *config.pointer_mut(pointer).unwrap() = value;
    config
}

fn compare(before: &Value, after: &Value) -> Output {
    let before = configuration::parse(before.to_string().as_bytes()).unwrap();
    let counts = [("engines".into(), 2), ("search".into(), 2)];
    let in_force = InForce {
        deployment: Some(before),
        servers: counts.into_iter().collect(),
    };
    verify(after.to_string().as_bytes(), Some(&in_force)).unwrap()
}

/// Runs the program; returns its exit code and what it printed.
fn run(args: &[&str]) -> (i32, String) {
    let program = env!("CARGO_BIN_EXE_poplar-ctl");
    let output = Command::new(program).arg("verify").args(args).output();
    let output = output.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8(text).unwrap(),
    )
}

/// A store with the sample as its configuration and one search server.
fn open_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4096];
            let length = stream.read(&mut head).unwrap();
            let is_operator = String::from_utf8_lossy(&head[..length]).contains("table=op&");
            let (table, key, value) = if is_operator {
                ("op", "config", sample())
            } else {
                let server = json!({"service": "search", "address": "127.0.0.1:9",
                                    "state": "ready", "zone": "a", "slots": 4});
                ("servers", "search-1", server)
            };
            let value = BASE64_STANDARD.encode(value.to_string());
            let row = json!({"table": table, "part": "", "key": key, "value": value, "ver": 5});
            let body = json!({"rows": [row], "ver": 5, "now_ms": 1}).to_string();
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}");
            let _ = write!(stream, "{head}\r\n\r\n{body}");
        }
    });
    address
}

/// Guards against changes that are not listed, or listed with secret keys.
#[test]
fn what_a_file_changes_is_said_in_sentences() {
    for (pointer, value, expected) in [
        (
            "/routes/0/timeout_ms",
            json!(9000),
            "The timeout of the route \"chat\" changes from 20s to 9s.",
        ),
        (
            "/routes/1/name",
            json!("find"),
            "The route \"search\" is removed: host=models.example",
        ),
        (
            "/services/0/engine/kv_capacity",
            json!(7),
            "The kv_capacity of the service \"engines\" changes from 400000 to 7.",
        ),
        (
            "/limits/max_body_bytes",
            json!(20000),
            "The value of the limit \"max_body_bytes\" changes from 4194304 to 20000.",
        ),
        (
            "/tenants/0/api_keys/0",
            json!("example-key-b"),
            "The key list of the workspace \"partner-a\" changes from ",
        ),
        (
            "/version",
            json!(3),
            "The file does not differ from version 1, which is in force.",
        ),
    ] {
        let output = compare(&sample(), &set(pointer, value));
        assert!(output.text.contains(expected), "{}", output.text);
        assert!(output.failure.is_none() && !output.text.contains("example-key"));
    }
}

/// Guards against a file that is sent and ignored by all routers.
#[test]
fn a_version_that_is_not_newer_is_a_finding() {
    let output = compare(&sample(), &sample());
    assert_eq!(output.failure.as_deref(), Some("findings: 1"));
    assert!(output.text.contains("Version 1 is not above version 1"));
}

/// Guards against scripts that take a file with findings, or one that could not be
/// checked, for a sound one.
#[test]
fn the_exit_code_tells_findings_from_files_that_cannot_be_read() {
    let folder = std::env::temp_dir().join(format!("poplar-verify-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let newer = write("newer", &set("/version", json!(2)).to_string());
    let faulty = write(
        "faulty",
        &set("/services/1/name", json!("other")).to_string(),
    );
    let broken = write("broken", "{\"version\": 1");
    let store = open_store().to_string();
    let (code, text) = run(&[SAMPLE]);
    assert!(
        code == 0 && text.contains("no findings in version 1"),
        "{text}"
    );
    let (code, text) = run(&[&faulty]);
    assert!(
        code == 1 && text.contains("No route names the service \"other\"."),
        "{text}"
    );
    for args in [
        &[&*broken][..],
        &["missing"],
        &[&newer, "--platform", "127.0.0.1:1"],
    ] {
        assert_eq!(run(args).0, 2, "{args:?}");
    }
    assert_eq!(run(&[&newer, "--settings", "missing"]).0, 2);
    // The store has one server of the service, and none of the other.
    let (code, text) = run(&[&newer, "--platform", &store]);
    let expected = "than the service \"search\" has registered servers (1)";
    assert!(code == 1 && text.contains(expected), "{text}");
    assert!(
        text.contains("\"engines\" has registered servers (0)") && text.contains("does not differ")
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
