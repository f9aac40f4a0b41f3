//! Commands that count at the stand-ins.

use poplar_core::bill::Bill;
use serde_json::Value;

use super::World;
use super::table;
use super::words::Words;
use crate::fault::{Fault, Result};
use crate::{audit, bills, wait, web};

impl World {
    /// `count` and `await`: a number on a stand-in's page of counts, summed
    /// over the stand-ins named; `await` waits until it is at least so high.
    ///
    /// `of` is the path to the number; `requests.runs` sums over requests.
    pub(super) async fn count(&mut self, words: &mut Words, waits: bool) -> Result<String> {
        let of = words.need("of")?;
        let least = match waits {
            true => words.need_number("least")?,
            false => 0,
        };
        let names = words.names();
        let fleet = self.fleet()?;
        let read = async || -> Result<u64> {
            let mut sum = 0;
            for name in &names {
                let page: Value = web::get(fleet.control(name)?, "/control/counts").await?;
                sum += dig(&page, &of);
            }
            Ok(sum)
        };
        if !waits {
            return Ok(format!("{}\n", read().await?));
        }
        let reached = wait::until(&of, async || match read().await {
            Ok(sum) => (sum >= least).then_some(()),
            Err(_) => None,
        });
        reached.await?;
        Ok(String::new())
    }

    /// `settle`: waits until no live router has a request or a bill on its way.
    pub(super) async fn settle(&mut self) -> Result<String> {
        for router in self.fleet()?.living() {
            let settled = wait::until(format!("{} to settle", router.name), async || {
                let page: Value = web::get(router.admin, "/v1/status").await.ok()?;
                let idle = page["streams"] == 0 && page["bills"] == 0;
                let idle = idle || page["sealed"] == true;
                idle.then_some(())
            });
            settled.await?;
        }
        Ok(String::new())
    }

    /// `bills`: how many bills there are.
    pub(super) async fn bills(&mut self) -> Result<String> {
        let bills = bills::read(&self.fleet()?.platform).await?;
        Ok(format!("{}\n", bills.len()))
    }

    /// `left`: tokens granted and neither billed nor returned, by budget.
    pub(super) async fn left(&mut self) -> Result<String> {
        let fleet = self.fleet()?;
        let bills = bills::read(&fleet.platform).await?;
        let mut text = String::new();
        for budget in fleet.platform.budgets().await? {
            let billed = bills.iter().filter(|b| *b.budget == budget.name);
            let billed: u64 = billed.map(Bill::tokens).sum();
            let left = i128::from(budget.row.granted) - i128::from(billed);
            text.push_str(&format!("{} {left}\n", budget.name));
        }
        Ok(text)
    }

    /// `spent`: whether at least `percent` of each budget was consumed.
    pub(super) async fn spent(&mut self, words: &mut Words) -> Result<String> {
        let percent = words.need_number("percent")?;
        let fleet = self.fleet()?;
        for name in table::names(fleet).await? {
            let (limit, used) = audit::consumed(fleet, &name).await?;
            if used * 100 < limit * percent {
                return Err(Fault(format!("{name}: {used} of {limit} consumed")));
            }
        }
        Ok("yes\n".to_owned())
    }
}

/// The number at a path; lists on the way are summed over.
fn dig(page: &Value, path: &str) -> u64 {
    if let Value::Array(all) = page {
        return all.iter().map(|one| dig(one, path)).sum();
    }
    match path.split_once('.') {
        Some((head, rest)) => dig(&page[head], rest),
        None if path.is_empty() => page.as_u64().unwrap_or(0),
        None => match &page[path] {
            Value::Array(all) => all.len() as u64,
            number => number.as_u64().unwrap_or(0),
        },
    }
}
