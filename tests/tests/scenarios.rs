//! Runs each scenario file as a test of its own.

use std::path::Path;

use poplar_tests::script;

fn run(file: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let path = folder.join(format!("{file}.txt"));
    assert!(path.exists(), "{} does not exist", path.display());
    datadriven::walk(&path.display().to_string(), script::run);
}

/// Declares a test for each scenario file, and one that checks that none is missing.
macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                run(stringify!($name));
            }
        )*

        #[test]
        fn every_file_is_run() {
            let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
            let declared = [$(stringify!($name)),*];
            for entry in std::fs::read_dir(folder).expect("the folder of scenarios is readable") {
                let name = entry.expect("the entry is readable").file_name();
                let name = name.to_string_lossy().replace(".txt", "");
                assert!(declared.contains(&&*name), "{name} is not declared");
            }
        }
    };
}

scenarios! {
    answers_all_cut
    answers_engine_death
    answers_router_death
    answers_whole
    bad_input
    bills_held_by_peers
    bills_lost_answers
    bills_once
    bills_store_down
    budgets_kill
    budgets_load
    budgets_lost_answers
    budgets_outage
    budgets_partition
    budgets_pause_seal
    budgets_topup
    config_force
    config_restart
    leaving
    not_run_after_run
    once_given_up
    once_happy
    once_paused_fenced
    once_paused_unfenced
    once_rolling
    pair_engine_router
    pair_kill_lost
    pair_partition_topup
    pair_pause_outage
    poison
    once_chaos_fenced
    once_chaos_unfenced
    poison_bystanders
    refusals_not_run
    refusals_small_engines
    shutdown_rolling
}
