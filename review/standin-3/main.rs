//! Runs a case of the review: `standin CASE FOLDER`. It starts the routers of the deploy
//! file as processes of their own, with stand-ins for clients, servers and the store, and
//! writes `record.txt` into the folder. Exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case couldn't run. With `TROUBLE=0` in the environment there is
//! no disruption.

mod cases;
mod engine;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = Record::open(&Path::new(&folder).join("record.txt"))
        .and_then(|record| cases::run(&case, record, trouble));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("the case couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}
