//! Cluster keys and operator tokens. They are read from files and can be reloaded without a restart.

use errors::{Code, Error, Result};
use node::TokenRing;
use settings::NodeSettings;
use wire::KeyRing;

/// The keys and tokens in use.
pub struct Secrets {
    /// The cluster keys.
    pub keys: KeyRing,
    /// The operator tokens.
    pub tokens: TokenRing,
}

impl Secrets {
    /// Reads both files.
    pub fn load(settings: &NodeSettings) -> Result<Self> {
        Ok(Self {
            keys: KeyRing::parse(&read_file(&settings.cluster_key_file)?)?,
            tokens: TokenRing::parse(&read_file(&settings.token_file)?)?,
        })
    }

    /// Reads both files again. If a file is invalid, the keys or tokens in use are kept.
    pub fn reload(&self, settings: &NodeSettings) -> Result<()> {
        self.keys.replace(&read_file(&settings.cluster_key_file)?)?;
        self.tokens.replace(&read_file(&settings.token_file)?)
    }
}

fn read_file(path: &std::path::Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|error| Error::new(Code::BadSettings, format!("{}: {error}", path.display())))
}
