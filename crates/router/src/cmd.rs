//! The subcommands of the program.

pub mod gateway;
