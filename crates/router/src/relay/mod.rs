//! The reverse proxy that runs on the users' platform. It forwards requests,
//! whose bodies it does not interpret, to the backend servers that the
//! operator's routes name.
//!
//! [`handler`] matches a request with its route, checks that this host has the
//! [`capacity`] for it, and reserves its tokens in the
//! workspace's [`budgets`]; one that crashes servers is refused, see [`crashes`].
//! [`exchange`] chooses a server among [`servers`] by the [`costs`] learned, which may have named [`limits`],
//! sends the request and retries it where the route allows that. Responses of
//! engines are forwarded event by event in [`stream`]. The formats of the platform
//! are decoded by `poplar_platform`.

mod age;
pub mod budgets;
pub mod capacity;
pub mod connections;
pub mod costs;
pub mod crashes;
pub mod exchange;
pub mod gossip;
pub mod handler;
pub mod identity;
pub mod lifecycle;
pub mod limits;
pub mod listeners;
pub mod memory;
pub mod paths;
pub mod refusal;
pub mod request;
pub mod response_memory;
pub mod servers;
pub mod sse;
pub mod state;
pub mod stop;
pub mod stream;
pub mod streams;
pub mod upload;
pub mod upstream;
pub mod watch;
