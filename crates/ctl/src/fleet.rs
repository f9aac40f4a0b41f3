//! The fleet as the operators' commands see it: the platform's rows and the
//! routers' admin pages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{BoxFuture, join_all};
use poplar_base::http::Client;
use poplar_base::platform::{Platform, client};
use poplar_core::bill::{BillingRow, RouterRow, Stage};
use poplar_core::budget::rows::{BudgetRow, GrantRow};
use poplar_core::config::{Config, ConfigWire, ROW_KEY};
use poplar_core::id::{Incarnation, Name};
use poplar_core::sorted::SortedVec;
use serde_json::Value;

use crate::error::{Error, Result};

/// A call of an admin page: its address and path, the answer later.
pub type AdminCall = Arc<dyn Fn(Name, String) -> BoxFuture<'static, Result<Value>> + Send + Sync>;

/// The routers' admin pages as functions.
#[derive(Clone)]
pub struct Admin {
    /// Reads a page; null where the router knows nothing of it.
    pub get: AdminCall,
    /// Gives an order.
    pub post: AdminCall,
}

impl Admin {
    /// Opens admin pages over HTTP; each call takes `timeout` at most.
    pub fn open(timeout: Duration) -> Self {
        let client = Client::open();
        let getter = client.clone();
        Self {
            get: Arc::new(move |address, path| {
                Box::pin(get(getter.clone(), address, path, timeout))
            }),
            post: Arc::new(move |address, path| {
                Box::pin(post(client.clone(), address, path, timeout))
            }),
        }
    }
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin").finish_non_exhaustive()
    }
}

async fn get(client: Client, address: Name, path: String, timeout: Duration) -> Result<Value> {
    let url = format!("http://{address}{path}");
    let answer = client.get(&url, timeout).await?;
    match answer.status.as_u16() {
        404 => Ok(Value::Null),
        200 => Ok(answer.json()?),
        status => Err(Error::Admin(format!("{address}{path}: status {status}"))),
    }
}

async fn post(client: Client, address: Name, path: String, timeout: Duration) -> Result<Value> {
    let url = format!("http://{address}{path}");
    let answer = client.post(&url, &Value::Null, timeout).await?;
    if !answer.status.is_success() {
        let status = answer.status;
        return Err(Error::Admin(format!("{address}{path}: status {status}")));
    }
    Ok(answer.json().unwrap_or(Value::Null))
}

/// A router with its row.
#[derive(Debug, Clone, PartialEq)]
pub struct Router {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its row.
    pub row: RouterRow,
    /// Version of its row.
    pub version: u64,
    /// What it has billed.
    pub billing: BillingRow,
}

impl Router {
    /// Whether it may still be at work.
    pub fn is_live(&self) -> bool {
        self.row.stage != Stage::Sealed
    }
}

/// A budget's row with the grants drawn on it.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Its name.
    pub name: Name,
    /// Its row.
    pub row: BudgetRow,
}

/// The configuration's row.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfig {
    /// The row's version, 0 where there is none.
    pub version: u64,
    /// The configuration; generation 0 where there is none.
    pub config: Config,
}

/// The fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The platform's services.
    pub platform: Platform,
    /// The routers' admin pages.
    pub admin: Admin,
}

impl Fleet {
    /// Opens the fleet whose platform is at `address`.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            platform: client::open(address, timeout),
            admin: Admin::open(timeout),
        }
    }

    /// Every router that has a row, sealed ones too.
    ///
    /// # Errors
    /// The platform's.
    pub async fn routers(&self) -> Result<Vec<Router>> {
        let rows = (self.platform.scan)("router/".to_owned()).await?;
        let billings = self.billings().await?;
        let mut routers = Vec::with_capacity(rows.len());
        for row in rows {
            let Some(read) = row.decode::<RouterRow>()? else {
                continue;
            };
            let name = row.key.trim_start_matches("router/").into();
            let billing = billings.get(&name).cloned().unwrap_or_default();
            routers.push(Router {
                incarnation: Incarnation(name),
                row: read,
                version: row.version,
                billing,
            });
        }
        Ok(routers)
    }

    async fn billings(&self) -> Result<SortedVec<Name, BillingRow>> {
        let rows = (self.platform.scan)("billing/".to_owned()).await?;
        let mut billings = SortedVec::new();
        for row in rows {
            let name = row.key.trim_start_matches("billing/").into();
            if let Some(read) = row.decode()? {
                billings.insert(name, read);
            }
        }
        Ok(billings)
    }

    /// Routers that are not sealed.
    ///
    /// # Errors
    /// The platform's.
    pub async fn live_routers(&self) -> Result<Vec<Router>> {
        let mut routers = self.routers().await?;
        routers.retain(Router::is_live);
        Ok(routers)
    }

    /// Every budget.
    ///
    /// # Errors
    /// The platform's.
    pub async fn budgets(&self) -> Result<Vec<Budget>> {
        let rows = (self.platform.scan)("budget/".to_owned()).await?;
        let mut budgets = Vec::with_capacity(rows.len());
        for row in rows {
            let Some(read) = row.decode::<BudgetRow>()? else {
                continue;
            };
            let name = row.key.trim_start_matches("budget/").into();
            budgets.push(Budget { name, row: read });
        }
        Ok(budgets)
    }

    /// Grants by budget and incarnation.
    ///
    /// # Errors
    /// The platform's.
    pub async fn grants(&self) -> Result<SortedVec<(Name, Incarnation), GrantRow>> {
        let rows = (self.platform.scan)("grant/".to_owned()).await?;
        let mut grants = SortedVec::new();
        for row in rows {
            let path = row.key.trim_start_matches("grant/");
            let split = path.split_once('/');
            if let (Some((of, budget)), Some(read)) = (split, row.decode()?) {
                grants.insert((budget.into(), Incarnation(of.into())), read);
            }
        }
        Ok(grants)
    }

    /// The configuration as it stands in the table.
    ///
    /// # Errors
    /// The platform's, or a row of another shape.
    pub async fn config(&self) -> Result<StoredConfig> {
        let row = self.platform.row(ROW_KEY).await?;
        let config = match row.decode::<ConfigWire>()? {
            Some(wire) => Config::try_from(wire)?,
            None => Config::default(),
        };
        let version = row.version;
        Ok(StoredConfig { version, config })
    }

    /// Reads one admin page of each of `routers`, all at once.
    pub async fn query_admin(&self, routers: &[Router], path: &str) -> Vec<Result<Value>> {
        let calls = routers
            .iter()
            .map(|r| (self.admin.get)(r.row.admin.clone(), path.to_owned()));
        join_all(calls).await
    }

    /// The live router that `name` means: an incarnation, or a router's name.
    ///
    /// # Errors
    /// None or several are live under this name.
    pub async fn find_router(&self, name: &str) -> Result<Router> {
        let mut routers = self.live_routers().await?;
        routers.retain(|r| &*r.incarnation.0 == name || r.incarnation.router() == name);
        match routers.len() {
            1 => Ok(routers.remove(0)),
            0 => Err(Error::Refused(format!("no live router is called {name}"))),
            count => Err(Error::Refused(format!(
                "{count} incarnations of {name} are live; name one of them"
            ))),
        }
    }
}
