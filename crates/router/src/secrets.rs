//! Secrets, which come by file and are never printed.

use std::fmt;
use std::path::Path;

use fescue_core::settings::Settings;
use miette::{IntoDiagnostic, WrapErr};
use sha2::{Digest, Sha256};

/// A text that logs and messages don't show.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text, to send it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether `shown` is the same, in a time that doesn't tell where they differ.
    pub fn matches(&self, shown: &str) -> bool {
        Sha256::digest(&self.0) == Sha256::digest(shown)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The secrets of one router.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// What operators show.
    pub operator: Secret,
    /// What routers show each other.
    pub peer: Secret,
}

impl Secrets {
    /// Reads the files that the settings name.
    ///
    /// # Errors
    ///
    /// When a file can't be read or holds nothing.
    pub fn read(settings: &Settings) -> miette::Result<Self> {
        let operator = read(&settings.operator_token)?;
        let peer = read(&settings.peer_token)?;
        Ok(Self { operator, peer })
    }
}

fn read(path: &Path) -> miette::Result<Secret> {
    let name = path.display();
    let text = std::fs::read_to_string(path).into_diagnostic();
    let text = text.wrap_err_with(|| format!("{name} can't be read"))?;
    let text = text.trim();
    miette::ensure!(!text.is_empty(), "{name} holds no token");
    Ok(Secret::new(text))
}
