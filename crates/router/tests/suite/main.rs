//! The integration suite of the router, a file a feature.

mod fleet;
mod money_generated;
mod money_stories;
