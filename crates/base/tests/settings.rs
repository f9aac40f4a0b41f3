//! All faults of a settings file are reported at once.

use std::time::Duration;

use poplar_base::settings::{Faults, File};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

const FAULTY: &str = "\
stray = 1
[router]
listen = localhost:80
peers = 127.0.0.1:1, nowhere
poll = 5
late = 2h
short = 3x
streams = 70000
share = NaN
keep = perhaps
mode = wrong
name =
key = hunter2
streams = 2
typo = 1
bare
lost = 1
[platform]
[router]
[nobody]
";

fn read(text: &str) -> Result<(), Faults> {
    let mut file = File::parse("router.ini", text)?;
    let mut s = file.section("router");
    s.address("listen");
    s.addresses("peers");
    s.duration("poll", SECOND..=HOUR);
    s.duration("late", SECOND..=HOUR);
    s.duration_or("short", SECOND..=HOUR, SECOND);
    s.number("streams", 1..=2000_u32);
    s.number("share", 0.0..=1.0);
    s.flag("keep");
    s.choice("mode", &[("even", 0), ("odd", 1)]);
    s.text("name");
    s.read_opt("key", "64 hex digits", |_| -> Result<(), String> {
        Err("is not hex".to_owned())
    });
    file.section("platform").address("address");
    file.section("log");
    file.finish()
}

#[test]
fn each_fault_names_file_section_key_value_reason_and_accepted_form() {
    let faults = read(FAULTY).unwrap_err();
    insta::assert_snapshot!(faults);
}

#[test]
fn invalid_ini_is_reported_with_its_line() {
    let faults = read("[router]\nlisten\n").unwrap_err();
    insta::assert_snapshot!(faults);
    let faults = File::open("no/such/file.ini").unwrap_err();
    assert!(
        faults
            .to_string()
            .starts_with("no/such/file.ini: can't be read")
    );
}

#[test]
fn a_valid_file_is_read_completely() {
    let text = "[router]\nlisten = [::1]:80\npoll = 250ms\npeers = 127.0.0.1:1,127.0.0.1:2\n\
                [class a]\nx = 1\n[class b]\nx = 2\n";
    let mut file = File::parse("router.ini", text).unwrap();
    let mut s = file.section("router");
    assert_eq!(s.address("listen").port(), 80);
    assert_eq!(s.duration("poll", Duration::ZERO..=SECOND).as_millis(), 250);
    assert_eq!(s.addresses("peers").len(), 2);
    assert_eq!(s.number_or("missing", 1..=9, 4), 4);
    assert_eq!(s.text_opt("none"), None);
    let mut sum = 0;
    for name in file.named_sections("class") {
        sum += file.section(&format!("class {name}")).number("x", 1..=9);
    }
    assert_eq!(sum, 3);
    file.finish().unwrap();
}
