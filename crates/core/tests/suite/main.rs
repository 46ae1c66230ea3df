//! Tests of the parsing and checking of rules and settings.

mod rules;
mod settings;
