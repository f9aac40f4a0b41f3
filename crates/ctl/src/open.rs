//! Opens the fleet from a command line; `poplar-burn` does so too.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use poplar_base::args::{self, Failure, Matches, Outcome};
use poplar_base::settings::{Faults, File};

use crate::error::Error;
use crate::fleet::Fleet;

/// How long a call takes at most where nothing is said.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest timeout.
const LONGEST: Duration = Duration::from_secs(600);

/// Opens the fleet that `--platform` or the settings file names.
///
/// # Errors
/// [`Failure::Usage`] where neither or both are given, else the file's faults.
pub fn open(matches: &Matches) -> Outcome<Fleet> {
    let given: Option<SocketAddr> = args::parse_option(matches, "platform", "IP:PORT")?;
    let (address, timeout) = match (given, matches.opt_str("settings")) {
        (Some(address), None) => (address, TIMEOUT),
        (None, Some(file)) => platform(&file).map_err(|faults| failure_report(faults.into()))?,
        _ => {
            let why = "either --platform IP:PORT or --settings FILE is needed";
            return Err(Failure::usage(why));
        }
    };
    Ok(Fleet::open(address, timeout))
}

/// Reads the platform's address and timeout from a settings file.
///
/// # Errors
/// Every fault of the file.
fn platform(file: &str) -> Result<(SocketAddr, Duration), Faults> {
    let mut file = File::open(file)?;
    let mut section = file.section("platform");
    let address = section.address("address");
    let range = Duration::from_millis(1)..=LONGEST;
    let timeout = section.duration_or("timeout", range, TIMEOUT);
    file.finish()?;
    Ok((address, timeout))
}

/// A program's failure, from an error of this crate.
pub fn failure_report(error: Error) -> Report<Failure> {
    let failure = match &error {
        Error::Faults(faults) => format!("{} faults", faults.0.len()),
        _ => "failed".to_owned(),
    };
    Report::new(error).change_context(Failure::Failed(failure))
}
