//! Starts the graceful shutdown of a router.

use serde::Serialize;

use crate::error::Result;
use crate::fleet::Fleet;
use crate::output::Output;

/// Output of `drain` as JSON: the incarnation that drains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct Draining {
    draining: String,
}

/// Starts the graceful shutdown of the router or incarnation `name`.
///
/// # Errors
/// There is no such live router, or it does not answer.
pub async fn drain(fleet: &Fleet, name: &str) -> Result<Output> {
    let router = fleet.find_router(name).await?;
    (fleet.admin.post)(router.row.admin.clone(), "/v1/drain".to_owned()).await?;
    let draining = router.incarnation.to_string();
    let text = format!("{draining} is draining\n");
    Ok(Output::new(&Draining { draining }, text))
}
