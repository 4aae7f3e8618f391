//! The cluster keys and operator tokens, read from files and read again without a restart.

use errors::{Code, Error, Result};
use node::TokenRing;
use settings::NodeSettings;
use wire::KeyRing;

/// The keys and tokens in use.
pub struct Secrets {
    /// The cluster keys.
    pub keys: KeyRing,
    /// The operators' tokens.
    pub tokens: TokenRing,
}

impl Secrets {
    /// Reads both files.
    pub fn load(settings: &NodeSettings) -> Result<Self> {
        Ok(Self {
            keys: KeyRing::parse(&read(&settings.cluster_key_file)?)?,
            tokens: TokenRing::parse(&read(&settings.token_file)?)?,
        })
    }

    /// Reads both files again. A file with a fault leaves what is in use as it is.
    pub fn reload(&self, settings: &NodeSettings) -> Result<()> {
        self.keys.replace(&read(&settings.cluster_key_file)?)?;
        self.tokens.replace(&read(&settings.token_file)?)
    }
}

fn read(path: &std::path::Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map_err(|error| Error::new(Code::BadSettings, format!("{}: {error}", path.display())))
}
