//! Opens the fleet as the command line says; also used by `poplar-burn`.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use poplar_base::args::{self, Failure, Matches, Outcome};
use poplar_base::settings::{Faults, File};

use crate::error::Error;
use crate::fleet::Fleet;

/// Timeout of a call if the settings name none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Opens the fleet given by `--platform` or by the settings file.
///
/// # Errors
/// [`Failure::Usage`] if neither or both are given, else the faults of the file.
pub fn open(matches: &Matches) -> Outcome<Fleet> {
    let (address, timeout) = read_platform(matches)?;
    Ok(Fleet::open(address, timeout))
}

/// Reads the platform's address and the timeout of a call from `--platform` or the
/// settings file.
///
/// # Errors
/// [`Failure::Usage`] if neither or both are given, else the faults of the file.
pub fn read_platform(matches: &Matches) -> Outcome<(SocketAddr, Duration)> {
    let option: Option<SocketAddr> = args::parse_option(matches, "platform", "IP:PORT")?;
    match (option, matches.opt_str("settings")) {
        (Some(address), None) => Ok((address, DEFAULT_TIMEOUT)),
        (None, Some(file)) => {
            read_platform_section(&file).map_err(|faults| failure_report(faults.into()))
        }
        _ => {
            let reason = "either --platform IP:PORT or --settings FILE is needed";
            Err(Failure::usage(reason))
        }
    }
}

/// Reads the platform's address and timeout from a settings file.
///
/// # Errors
/// All faults of the file.
fn read_platform_section(file: &str) -> Result<(SocketAddr, Duration), Faults> {
    let mut file = File::open(file)?;
    let mut section = file.section("platform");
    let address = section.address("address");
    let range = Duration::from_millis(1)..=MAX_TIMEOUT;
    let timeout = section.duration_or("timeout", range, DEFAULT_TIMEOUT);
    file.finish()?;
    Ok((address, timeout))
}

/// Converts an error of this crate into the report that a program exits with.
pub fn failure_report(error: Error) -> Report<Failure> {
    let failure = match &error {
        Error::Faults(faults) => format!("{} faults", faults.0.len()),
        _ => "failed".to_owned(),
    };
    Report::new(error).change_context(Failure::Failed(failure))
}
