//! Commands that read counts and bills at the stand-ins.

use poplar_core::bill::Bill;
use serde_json::Value;

use super::Scenario;
use super::arguments::Arguments;
use super::operator;
use crate::error::{Error, Result};
use crate::{audit, bills, wait, web};

impl Scenario {
    /// `count` and `await`: reads a number from the counts of the named stand-ins
    /// and adds it up; `await` waits until the sum is at least `least`.
    ///
    /// `of` is the path of the number; `requests.runs` sums over requests.
    pub(super) async fn count(&mut self, args: &mut Arguments, wait: bool) -> Result<String> {
        let of = args.required("of")?;
        let minimum = match wait {
            true => args.required_number("least")?,
            false => 0,
        };
        let names = args.bare_words();
        let fleet = self.fleet()?;
        let read = async || -> Result<u64> {
            let mut sum = 0;
            for name in &names {
                let page: Value = web::get(fleet.control_address(name)?, "/control/counts").await?;
                sum += sum_at_path(&page, &of);
            }
            Ok(sum)
        };
        if !wait {
            return Ok(format!("{}\n", read().await?));
        }
        let reached = wait::until(&of, async || match read().await {
            Ok(sum) => (sum >= minimum).then_some(()),
            Err(_) => None,
        });
        reached.await?;
        Ok(String::new())
    }

    /// `settle`: waits until no live router has an open request or a pending bill.
    pub(super) async fn settle(&mut self) -> Result<String> {
        for router in self.fleet()?.live_routers() {
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

    /// `bills`: prints the number of bills.
    pub(super) async fn bills(&mut self) -> Result<String> {
        let bills = bills::read(&self.fleet()?.platform).await?;
        Ok(format!("{}\n", bills.len()))
    }

    /// `left`: prints tokens granted and neither billed nor returned, by budget.
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

    /// `spent`: checks that at least `percent` of each budget was consumed.
    pub(super) async fn spent(&mut self, args: &mut Arguments) -> Result<String> {
        let percent = args.required_number("percent")?;
        let fleet = self.fleet()?;
        for name in operator::budget_names(fleet).await? {
            let (limit, used) = audit::consumed(fleet, &name).await?;
            if used * 100 < limit * percent {
                return Err(Error(format!("{name}: {used} of {limit} consumed")));
            }
        }
        Ok("yes\n".to_owned())
    }
}

/// Returns the number at a path, summed over lists along the path.
fn sum_at_path(page: &Value, path: &str) -> u64 {
    if let Value::Array(all) = page {
        return all.iter().map(|one| sum_at_path(one, path)).sum();
    }
    match path.split_once('.') {
        Some((head, rest)) => sum_at_path(&page[head], rest),
        None if path.is_empty() => page.as_u64().unwrap_or(0),
        None => match &page[path] {
            Value::Array(all) => all.len() as u64,
            number => number.as_u64().unwrap_or(0),
        },
    }
}
