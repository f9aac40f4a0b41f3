//! Tests of the operators' command.

mod apply;
mod budget;
mod classes;
mod command;
mod common;
mod page;
mod query;
mod verify;
