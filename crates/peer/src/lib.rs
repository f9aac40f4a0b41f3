//! The protocol between routers.
