//! The sample classes files are valid, and all faults of a file are reported.

use std::path::Path;

use poplar_base::settings::File;
use poplar_core::config::{Config, hash_key};
use poplar_ctl::classes;
use poplar_ctl::query::config::check;

fn sample(name: &str) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config");
    classes::open(root.join(name)).unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn sample_files_are_valid() {
    let trust = sample("classes-waiharakeke.ini");
    let consortium = sample("classes-nairobi.ini");
    assert_eq!((trust.classes.len(), consortium.classes.len()), (5, 5));
    assert!(!trust.class("pole-push").unwrap().repeatable);
    assert!(!consortium.class("payment").unwrap().repeatable);
    let output = check(&consortium);
    assert_eq!(output.json["classes"][0]["name"], "bib-lookup");
}

#[test]
fn every_fault_of_a_classes_file_is_named() {
    let text = "\
[class Plan]
kind = model
serves = scenes
first = 9s
finish = 5s
objective = 1
cap = 0
repeat = no
[class push]
kind = service
finish = 0s
first = 1s
[workspace a]
key = one
secret = short
[workspace b]
key = same
[workspace c]
key = same
[workspace d]
";
    let faults = classes::read(File::parse("classes.ini", text).unwrap()).unwrap_err();
    insta::assert_snapshot!(faults);
}

#[test]
fn a_key_and_its_hash_open_the_same_workspace() {
    let text = format!(
        "[class c]\nkind = service\nserves = s\nfinish = 1s\nrepeat = yes\n\
         [workspace a]\nsecret = {}\n",
        hash_key("lamp")
    );
    let config = classes::read(File::parse("x", &text).unwrap()).unwrap();
    assert_eq!(&*config.workspace_by_key("lamp").unwrap().name, "a");
}
