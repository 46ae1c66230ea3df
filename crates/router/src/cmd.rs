//! The program's commands.

pub mod gateway;
