//! Checks of names, rules and settings.

mod rules;
mod settings;
