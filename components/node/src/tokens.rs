//! The operator tokens. Two are valid while the token is being rotated.

use std::sync::{Arc, RwLock};

use errors::{Code, Error, Result};
use http_types::Request;
use net::bearer_token;

/// The shortest accepted token, in characters.
const MIN_TOKEN_CHARS: usize = 16;
/// The largest number of tokens that are valid at the same time.
const MAX_TOKENS: usize = 2;

/// The digests of the valid tokens.
#[derive(Clone)]
pub struct TokenRing(Arc<RwLock<Vec<blake3::Hash>>>);

impl TokenRing {
    /// Parses the text of a token file: one or two lines.
    pub fn parse(text: &str) -> Result<Self> {
        Ok(Self(Arc::new(RwLock::new(parse_tokens(text)?))))
    }

    /// Replaces the tokens by those of a changed file, in all clones of this ring.
    pub fn replace(&self, text: &str) -> Result<()> {
        *self.0.write().expect("the lock is never poisoned") = parse_tokens(text)?;
        Ok(())
    }

    /// Verifies the bearer token of a request.
    pub(crate) fn check(&self, request: &Request) -> Result<()> {
        let given = bearer_token(request).map(|token| blake3::hash(token.as_bytes()));
        let valid = self.0.read().expect("the lock is never poisoned");
        // `blake3::Hash` compares in constant time.
        if given.is_some_and(|given| valid.contains(&given)) {
            return Ok(());
        }
        Err(Error::new(Code::Unauthorized, "the operator token is absent or wrong"))
    }
}

// A derived implementation would write the digests into logs.
impl std::fmt::Debug for TokenRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenRing(..)")
    }
}

fn parse_tokens(text: &str) -> Result<Vec<blake3::Hash>> {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    let too_short = lines.iter().any(|line| line.len() < MIN_TOKEN_CHARS);
    if lines.is_empty() || lines.len() > MAX_TOKENS || too_short {
        let expected = "a token file holds one or two lines of at least 16 characters";
        return Err(Error::new(Code::BadSettings, expected));
    }
    Ok(lines.iter().map(|line| blake3::hash(line.as_bytes())).collect())
}

#[cfg(test)]
mod tests;
