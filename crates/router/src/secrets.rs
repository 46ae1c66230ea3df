//! Secrets, which are read from files and never printed.

use std::fmt;
use std::path::Path;

use fescue_core::settings::Settings;
use miette::{IntoDiagnostic, WrapErr};
use sha2::{Digest, Sha256};

/// A string that is redacted in `Debug` output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret string.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the plain text, for use in a request.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether `candidate` equals the secret.
    ///
    /// Digests are compared, so that the time taken does not reveal where the texts differ.
    pub fn matches(&self, candidate: &str) -> bool {
        Sha256::digest(&self.0) == Sha256::digest(candidate)
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
    /// The bearer token of operators.
    pub operator: Secret,
    /// The token that routers of the fleet authenticate to each other with.
    pub peer: Secret,
}

impl Secrets {
    /// Reads the files that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error when a file can't be read or is empty.
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
    miette::ensure!(!text.is_empty(), "{name} is empty; expected a token");
    Ok(Secret::new(text))
}
