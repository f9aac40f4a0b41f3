//! Access of the operators' commands to the fleet: the platform's rows and the
//! routers' admin addresses.

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

/// A call to a router's admin address, by address and path.
pub type AdminCall = Arc<dyn Fn(Name, String) -> BoxFuture<'static, Result<Value>> + Send + Sync>;

/// The calls to the routers' admin addresses as functions.
#[derive(Clone)]
pub struct Admin {
    /// Sends a GET request; returns null if the router answers 404.
    pub get: AdminCall,
    /// Sends a POST request.
    pub post: AdminCall,
}

impl Admin {
    /// Creates the calls over HTTP; `timeout` bounds each call.
    pub fn open(timeout: Duration) -> Self {
        let client = Client::open();
        let get_client = client.clone();
        Self {
            get: Arc::new(move |address, path| {
                Box::pin(get(get_client.clone(), address, path, timeout))
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
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The router's row.
    pub row: RouterRow,
    /// Version of the row.
    pub version: u64,
    /// The router's billing row.
    pub billing: BillingRow,
}

impl Router {
    /// Whether the router is not sealed and may still be running.
    pub fn is_live(&self) -> bool {
        self.row.stage != Stage::Sealed
    }
}

/// A budget with its row.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    /// Name of the budget.
    pub name: Name,
    /// The budget's row.
    pub row: BudgetRow,
}

/// The configuration in the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfig {
    /// Version of the row; 0 if there is none.
    pub version: u64,
    /// The configuration; an empty one of generation 0 if there is no row.
    pub config: Config,
}

/// Connection to a fleet.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The platform's services.
    pub platform: Platform,
    /// The calls to the routers' admin addresses.
    pub admin: Admin,
}

impl Fleet {
    /// Opens the fleet whose platform is at `address`; `timeout` bounds each call.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            platform: client::open(address, timeout),
            admin: Admin::open(timeout),
        }
    }

    /// Reads all routers that have a row, including sealed ones.
    ///
    /// # Errors
    /// Any error of the platform.
    pub async fn routers(&self) -> Result<Vec<Router>> {
        let rows = (self.platform.scan)("router/".to_owned()).await?;
        let billings = self.billing_rows().await?;
        let mut routers = Vec::with_capacity(rows.len());
        for row in rows {
            let Some(decoded) = row.decode::<RouterRow>()? else {
                continue;
            };
            let name = row.key.trim_start_matches("router/").into();
            let billing = billings.get(&name).cloned().unwrap_or_default();
            routers.push(Router {
                incarnation: Incarnation(name),
                row: decoded,
                version: row.version,
                billing,
            });
        }
        Ok(routers)
    }

    /// Reads the billing rows of all incarnations.
    async fn billing_rows(&self) -> Result<SortedVec<Name, BillingRow>> {
        let rows = (self.platform.scan)("billing/".to_owned()).await?;
        let mut billings = SortedVec::new();
        for row in rows {
            let name = row.key.trim_start_matches("billing/").into();
            if let Some(billing) = row.decode()? {
                billings.insert(name, billing);
            }
        }
        Ok(billings)
    }

    /// Reads the routers that are not sealed.
    ///
    /// # Errors
    /// Any error of the platform.
    pub async fn live_routers(&self) -> Result<Vec<Router>> {
        let mut routers = self.routers().await?;
        routers.retain(Router::is_live);
        Ok(routers)
    }

    /// Reads all budgets.
    ///
    /// # Errors
    /// Any error of the platform.
    pub async fn budgets(&self) -> Result<Vec<Budget>> {
        let rows = (self.platform.scan)("budget/".to_owned()).await?;
        let mut budgets = Vec::with_capacity(rows.len());
        for row in rows {
            let Some(decoded) = row.decode::<BudgetRow>()? else {
                continue;
            };
            let name = row.key.trim_start_matches("budget/").into();
            budgets.push(Budget { name, row: decoded });
        }
        Ok(budgets)
    }

    /// Reads all grants, by budget and incarnation.
    ///
    /// # Errors
    /// Any error of the platform.
    pub async fn grants(&self) -> Result<SortedVec<(Name, Incarnation), GrantRow>> {
        let rows = (self.platform.scan)("grant/".to_owned()).await?;
        let mut grants = SortedVec::new();
        for row in rows {
            let path = row.key.trim_start_matches("grant/");
            let split = path.split_once('/');
            if let (Some((incarnation, budget)), Some(grant)) = (split, row.decode()?) {
                grants.insert((budget.into(), Incarnation(incarnation.into())), grant);
            }
        }
        Ok(grants)
    }

    /// Reads the configuration from the table.
    ///
    /// # Errors
    /// Any error of the platform, or an invalid row.
    pub async fn config(&self) -> Result<StoredConfig> {
        let row = self.platform.row(ROW_KEY).await?;
        let config = match row.decode::<ConfigWire>()? {
            Some(wire) => Config::try_from(wire)?,
            None => Config::default(),
        };
        let version = row.version;
        Ok(StoredConfig { version, config })
    }

    /// Reads `path` from the admin addresses of all `routers` concurrently.
    pub async fn query_admin(&self, routers: &[Router], path: &str) -> Vec<Result<Value>> {
        let calls = routers
            .iter()
            .map(|r| (self.admin.get)(r.row.admin.clone(), path.to_owned()));
        join_all(calls).await
    }

    /// Finds the live router with `name`, which is an incarnation or a router's
    /// name.
    ///
    /// # Errors
    /// No live router or several have this name, or any error of the platform.
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
